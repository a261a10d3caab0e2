package pearusher.policy;

import static pearusher.policy.PolicyHistory.SECOND;
import static pearusher.policy.PolicyHistory.serverIds;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Scenarios of endpoint lists, restarts, restored state and events that name unknown numbers. */
final class MembershipScenarios {
  private MembershipScenarios() {}

  static List<PolicyScenario> scenarios() {
    return List.of(
        new PolicyScenario(
            "list-on-request",
            HistorySettings.defaults().endpointListOnRequest(true).peersEnabled(true).build(),
            11,
            MembershipScenarios::endpointListUpdates),
        new PolicyScenario(
            "rolling-restarts-and-drains",
            HistorySettings.defaults().crossZoneCost(0.06).build(),
            12,
            MembershipScenarios::rollingRestarts),
        new PolicyScenario(
            "forgetting-and-released-zones",
            HistorySettings.defaults().zones(6).build(),
            13,
            MembershipScenarios::deletedServersAndReleasedZones),
        new PolicyScenario(
            "restored-in-a-jam",
            HistorySettings.defaults().crossZoneCost(0.06).build(),
            15,
            history -> restoredState(history, 1, 300)),
        new PolicyScenario(
            "restored-far-scales",
            HistorySettings.defaults().build(),
            16,
            history -> restoredState(history, 1000, 60)),
        new PolicyScenario(
            "restored-scale-near-limit",
            HistorySettings.defaults().build(),
            28,
            history -> restoredState(history, 105, 141)),
        new PolicyScenario(
            "clock-steps", HistorySettings.defaults().build(), 21, MembershipScenarios::clockSteps),
        new PolicyScenario(
            "slices",
            HistorySettings.defaults().slices(4).build(),
            22,
            MembershipScenarios::slices),
        new PolicyScenario(
            "starts-without-servers",
            HistorySettings.defaults().crossZoneCost(0.06).build(),
            26,
            MembershipScenarios::withoutServers),
        new PolicyScenario(
            "unknown-numbers",
            HistorySettings.defaults().healthChecksEnabled(true).build(),
            27,
            MembershipScenarios::unknownIds));
  }

  private static void endpointListUpdates(PolicyHistory history) {
    history.isListUnavailable = true;
    history.start(12, 2, 6);
    history.run(12);
    history.isListUnavailable = false;
    history.run(15);
    history.servers.remove(12L);
    history.sendEndpointList(ListUpdateKind.COMPLETE);
    history.endBatch();
    history.run(3);
    for (int repeat = 0; repeat < 12; repeat++) {
      history.sendEndpointList(ListUpdateKind.FAILED);
    }
    history.endBatch();
    history.policy.onPeerMessage(history.nowUs(), 1, new byte[] {1, 2, 3});
    history.run(20);
    history.addServers(30, 2, 5, history.nowUs());
    history.sendEndpointList(ListUpdateKind.CACHED);
    history.endBatch();
    history.run(5);
  }

  private static void rollingRestarts(PolicyHistory history) {
    history.start(18, 2, 10);
    history.run(6);
    for (long first = 1; first <= 18; first += 3) {
      List<Long> batch = serverIds(first, first + 2);
      history.changeLifecycle(Lifecycle.DRAINING, batch);
      history.endBatch();
      history.run(1.2);
      history.changeLifecycle(Lifecycle.REMOVED, batch);
      history.endBatch();
      history.run(1.5);
      history.restart(batch);
      history.endBatch();
      history.run(4);
    }
    history.restart(serverIds(4, 8));
    history.endBatch();
    history.changeLifecycle(Lifecycle.DRAINING, serverIds(1, 2));
    history.changeLifecycle(Lifecycle.READY, serverIds(1, 2));
    history.endBatch();
    history.run(12);
  }

  private static void deletedServersAndReleasedZones(PolicyHistory history) {
    history.start(24, 6, 12);
    history.run(6);
    history.changeLifecycle(Lifecycle.REMOVED, serverIds(1, 4));
    for (int proxy = 0; proxy < 12; proxy++) {
      if (proxy % 6 > 2) {
        history.leave(proxy);
      }
    }
    history.endBatch();
    history.run(70);
    history.addServers(1, 2, 6, history.nowUs());
    history.addServers(40, 2, 6, history.nowUs());
    history.sendListUpdate(List.of(1L, 2L, 40L, 41L));
    history.joinAll(20, 6, 6, false);
    history.endBatch();
    history.run(10);
  }

  /** Starts a process with the tables, admission levels and proxies of an earlier one. */
  private static void restoredState(PolicyHistory history, double scale, double attemptsPerZone) {
    history.attemptsPerZone = attemptsPerZone;
    history.addServers(1, 16, 2, PolicyHistory.LONG_AGO_US);
    history.sendEndpointList(ListUpdateKind.CACHED);
    for (int zone = 0; zone < 2; zone++) {
      Map<Long, Double> weights = new TreeMap<>();
      for (long id = 1; id <= 18; id++) {
        double spread = Map.of(5L, 20.0, 6L, 0.05).getOrDefault(id, 1.0);
        double weight = spread * (0.5 + history.random.nextDouble()) / 16;
        weights.put(id, zone == 0 ? weight * scale : weight / scale);
      }
      history.commands.tables.put(zone, new TreeMap<>(weights));
      history.policy.onTableRestored(
          history.nowUs(), zone, weights, new double[] {0.4, 1}, new int[] {0, zone - 1}, 70);
    }
    history.policy.onTableRestored(
        history.nowUs(), 7, Map.of(1L, 1.0), new double[] {1, 1}, new int[] {1, 1}, 70);
    history.joinAll(0, 10, 2, false);
    history.joinAll(10, 4, 2, true);
    for (int proxy = 0; proxy < 8; proxy++) {
      history.policy.onProxyTableReported(history.nowUs(), proxy, proxy < 6 ? proxy % 2 : 9, proxy);
    }
    history.failureShare = 0.3;
    history.slowdownFactor = 3;
    history.endBatch();
    history.changeLifecycle(Lifecycle.DRAINING, serverIds(3, 4));
    history.endBatch();
    history.run(3.1);
    history.join(20, 0, false);
    history.endBatch();
    history.run(5);
    history.failureShare = 0;
    history.slowdownFactor = 1;
    history.run(20);
  }

  private static void clockSteps(PolicyHistory history) {
    history.start(14, 2, 6);
    history.run(6);
    history.stepClock(-5 * SECOND);
    history.restart(serverIds(1, 2));
    history.endBatch();
    history.run(6);
    history.stepClock(100 * SECOND);
    history.changeLifecycle(Lifecycle.DRAINING, serverIds(5, 6));
    history.endBatch();
    history.run(6);
    history.stepClock(-300_000);
    history.run(6);
  }

  private static void slices(PolicyHistory history) {
    history.start(6, 2, 4);
    history.policy.onSliceAssignment(history.nowUs(), 1, true);
    history.policy.onSliceWeight(history.nowUs(), 1, 3, 0.5);
    history.policy.onSliceUsageReport(history.nowUs(), 1, 0, 10, 1, SECOND);
    history.run(3);
  }

  private static void withoutServers(PolicyHistory history) {
    history.start(0, 2, 4);
    history.run(4);
    history.joinAll(4, 4, 2, false);
    history.endBatch();
    history.run(2);
    history.addServers(1, 8, 1, PolicyHistory.LONG_AGO_US);
    history.sendListUpdate(serverIds(1, 8));
    history.endBatch();
    history.run(6);
    history.changeLifecycle(Lifecycle.REMOVED, serverIds(1, 8));
    history.endBatch();
    history.run(6);
    history.changeLifecycle(Lifecycle.READY, serverIds(1, 4));
    history.endBatch();
    history.run(6);
  }

  /**
   * Sends events that name unknown servers, proxies, zones, classes, acknowledgements and timers.
   */
  private static void unknownIds(PolicyHistory history) {
    AssignmentPolicy policy = history.policy;
    history.start(12, 2, 4);
    history.run(3);
    for (int round = 0; round < 4; round++) {
      history.addServers(100 + round, 1, 5, history.nowUs());
      history.servers.get(100L + round).lifecycle =
          round % 2 == 0 ? Lifecycle.REMOVED : Lifecycle.DRAINING;
      history.sendListUpdate(serverIds(100 + round, 100 + round));
      policy.onLoadReport(
          history.nowUs(),
          AttemptReport.ofSpanEndingNow(99, 0, 10, 1, SECOND, 200_000, new float[0]));
      policy.onLoadReport(
          history.nowUs(),
          AttemptReport.ofSpanEndingNow(1, 7, 10, 1, SECOND, 200_000, new float[0]));
      policy.onLoadReport(
          history.nowUs(),
          AttemptReport.ofSpanEndingNow(1, 1, 0, 0, SECOND, 200_000, new float[0]));
      policy.onLoadReport(
          history.nowUs(),
          AttemptReport.ofSpanEndingNow(2, 0, 5, 9, SECOND, 200_000, new float[0]));
      policy.onUsageReport(history.nowUs(), 99, 0, 10, 0, SECOND);
      policy.onUsageReport(history.nowUs(), 1, 7, 10, 0, SECOND);
      policy.onUsageReport(history.nowUs(), 1, 0, 10, 0, 0);
      policy.onHealthCheckResult(
          history.nowUs(), 99, HealthCheckResult.OK, 1000, new float[] {1, 1});
      policy.onHealthCheckResult(history.nowUs(), 2, HealthCheckResult.OK, 1000, new float[] {1});
      policy.onAcknowledgement(history.nowUs(), 99, 1, 200_000);
      policy.onAcknowledgement(history.nowUs(), 1, 64_000, 200_000);
      policy.onTimer(history.nowUs(), 77);
      policy.onProxyLeft(history.nowUs(), 99);
      history.join(50 + round, 9, false);
      history.endBatch();
      history.run(4);
    }
  }
}
