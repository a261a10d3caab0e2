package pearusher.policy;

import static pearusher.policy.PolicyHistory.SECOND;
import static pearusher.policy.PolicyHistory.serverIds;

import java.util.List;

/** Scenarios with outliers, cross-zone costs and missing reports. */
final class LoadScenarios {
  private LoadScenarios() {}

  static List<PolicyScenario> scenarios() {
    return List.of(
        new PolicyScenario(
            "one-zone-one-server",
            HistorySettings.defaults().zones(1).build(),
            1,
            LoadScenarios::oneServer),
        new PolicyScenario(
            "two-zones-ill-servers",
            HistorySettings.defaults().build(),
            2,
            LoadScenarios::outliers),
        new PolicyScenario(
            "cross-zone-price",
            HistorySettings.defaults().crossZoneCost(0.06).build(),
            3,
            LoadScenarios::crossZoneCost),
        new PolicyScenario(
            "own-zone-joins",
            HistorySettings.defaults()
                .zones(4)
                .proxies(32)
                .crossZoneCost(0.06)
                .siteProperties(HistorySettings.siteProperties(true))
                .build(),
            4,
            LoadScenarios::ownZoneJoins),
        new PolicyScenario(
            "silence-late-reports-lost-answers",
            HistorySettings.defaults().build(),
            20,
            LoadScenarios::missingReportsAndAcknowledgements));
  }

  private static void oneServer(PolicyHistory history) {
    history.start(1, 1, 2);
    history.run(5);
    history.changeLifecycle(Lifecycle.DRAINING, serverIds(1, 1));
    history.endBatch();
    history.run(3);
    history.changeLifecycle(Lifecycle.REMOVED, serverIds(1, 1));
    history.endBatch();
    history.run(2.5);
    history.addServers(2, 1, 1, history.nowUs());
    history.sendListUpdate(serverIds(2, 2));
    history.endBatch();
    history.run(15);
    history.leave(0);
    history.leave(1);
    history.endBatch();
    history.run(4);
    history.join(2, 0, true);
    history.endBatch();
    history.run(4);
  }

  private static void outliers(PolicyHistory history) {
    history.start(20, 2, 8);
    history.run(8);
    history.servers.get(3L).failureShare = 1;
    history.servers.get(4L).meanMs = 900;
    history.servers.get(5L).failureShare = 0.3;
    history.servers.get(6L).meanMs = 3000;
    history.servers.get(6L).failureShare = 0.6;
    history.servers.get(7L).listedWeight = 3;
    history.servers.get(8L).listedWeight = 0;
    history.sendListUpdate(serverIds(7, 8));
    history.endBatch();
    history.run(25);
    history
        .servers
        .values()
        .forEach(
            server -> {
              server.failureShare = 0;
              server.meanMs = 150;
            });
    history.run(40);
  }

  private static void crossZoneCost(PolicyHistory history) {
    history.start(24, 2, 24);
    history.run(20);
    setZone(history, 1, 700, 0.05);
    history.run(12);
    setZone(history, 1, 120, 0);
    history.run(15);
    for (int proxy = 1; proxy < 20; proxy += 2) {
      history.leave(proxy);
    }
    history.endBatch();
    history.run(8);
  }

  private static void setZone(PolicyHistory history, int zone, double meanMs, double failureShare) {
    history.servers.values().stream()
        .filter(server -> server.zone == zone)
        .forEach(
            server -> {
              server.meanMs = meanMs;
              server.failureShare = failureShare;
            });
  }

  private static void ownZoneJoins(PolicyHistory history) {
    history.start(40, 1, 8);
    history.run(20);
    history.joinAll(8, 6, 4, true);
    history.endBatch();
    history.run(12);
  }

  private static void missingReportsAndAcknowledgements(PolicyHistory history) {
    history.start(14, 2, 6);
    history.run(6);
    history.reportsSuspended = true;
    history.run(8);
    history.reportsSuspended = false;
    history.reportAgeUs = 4 * SECOND;
    history.run(8);
    history.reportAgeUs = 0;
    history.acknowledgementLoss = 1;
    history.channelRateFactor = 0.2;
    for (long id = 1; id <= 6; id++) {
      history.changeLifecycle(Lifecycle.DRAINING, serverIds(id, id));
      history.endBatch();
      history.run(1);
    }
    history.acknowledgementLoss = 0.3;
    history.acknowledgementDelayUs = 700_000;
    history.changeLifecycle(Lifecycle.READY, serverIds(1, 6));
    history.endBatch();
    history.run(10);
    history.acknowledgementLoss = 0;
    history.acknowledgementDelayUs = 0;
    history.channelRateFactor = 1;
    history.joinAll(20, 20, 2, true);
    history.endBatch();
    history.run(10);
  }
}
