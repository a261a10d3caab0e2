package pearusher.policy;

import static pearusher.policy.PolicyHistory.serverIds;

import java.util.List;

/** Scenarios of join surges, message caps, bounded tables and slow channels. */
final class ChannelScenarios {
  private ChannelScenarios() {}

  static List<PolicyScenario> scenarios() {
    return List.of(
        new PolicyScenario(
            "message-cap",
            HistorySettings.defaults().maxMessagesPerProxy(4).build(),
            10,
            ChannelScenarios::messageCap),
        new PolicyScenario(
            "drains-on-a-busy-channel",
            HistorySettings.defaults().linesPerSecond(400).maxBacklogLines(600).build(),
            34,
            ChannelScenarios::drainsOnABusyChannel),
        new PolicyScenario(
            "join-surge",
            HistorySettings.defaults().proxies(300).build(),
            17,
            history -> joinSurge(history, 40)),
        new PolicyScenario(
            "join-surge-message-cap",
            HistorySettings.defaults()
                .proxies(200)
                .maxMessagesPerProxy(6)
                .linesPerSecond(2000)
                .maxBacklogLines(3000)
                .build(),
            18,
            history -> joinSurge(history, 12)),
        new PolicyScenario(
            "more-servers-than-a-bind-carries",
            HistorySettings.defaults()
                .zones(98)
                .crossZoneCost(0.06)
                .linesPerSecond(600)
                .maxBacklogLines(900)
                .proxies(12)
                .build(),
            19,
            ChannelScenarios::boundedTables),
        new PolicyScenario(
            "own-zones-fill-the-scope",
            HistorySettings.defaults().zones(4).linesPerSecond(600).maxBacklogLines(900).build(),
            31,
            ChannelScenarios::boundedTablesOfFewZones),
        new PolicyScenario(
            "small-backlog",
            HistorySettings.defaults().linesPerSecond(600).maxBacklogLines(300).build(),
            32,
            ChannelScenarios::smallBacklog));
  }

  private static void messageCap(PolicyHistory history) {
    history.start(30, 2, 8);
    for (int round = 0; round < 6; round++) {
      history.servers.get(1L + round).meanMs = 800;
      history.servers.get(10L + round).failureShare = 0.8;
      history.slowdownFactor = round % 2 == 0 ? 1 : 3;
      history.changeLifecycle(Lifecycle.DRAINING, serverIds(20 + round, 20 + round));
      history.endBatch();
      history.run(6);
    }
  }

  /**
   * Drains and reinstates servers one after the other while the weights of others change
   * continually.
   */
  private static void drainsOnABusyChannel(PolicyHistory history) {
    history.start(30, 2, 8);
    history.run(6);
    for (int change = 0; change < 80; change++) {
      long id = 1L + history.random.nextInt(30);
      boolean ready = history.servers.get(id).lifecycle == Lifecycle.READY;
      history.changeLifecycle(ready ? Lifecycle.DRAINING : Lifecycle.READY, List.of(id));
      long other = 1L + history.random.nextInt(30);
      history.servers.get(other).meanMs = 60 + history.random.nextInt(800);
      history.endBatch();
      history.run(0.1 + history.random.nextDouble() / 2);
    }
  }

  private static void joinSurge(PolicyHistory history, int servers) {
    history.start(servers, 2, 6);
    history.run(5);
    history.joinAll(6, history.settings.proxies() - 6, 2, false);
    history.changeLifecycle(Lifecycle.DRAINING, serverIds(1, 2));
    history.endBatch();
    history.run(1.5);
    history.changeLifecycle(Lifecycle.DRAINING, serverIds(3, 10));
    history.endBatch();
    history.run(3);
    history.restart(serverIds(1, 4));
    history.addServers(servers + 1, 6, 2, history.nowUs());
    history.sendListUpdate(serverIds(servers + 1, servers + 6));
    history.endBatch();
    history.run(12);
  }

  private static void boundedTables(PolicyHistory history) {
    history.start(392, 6, 12);
    history.run(10);
    history.changeLifecycle(Lifecycle.DRAINING, serverIds(1, 60));
    history.endBatch();
    history.run(8);
    history.changeLifecycle(Lifecycle.REMOVED, serverIds(1, 30));
    history.changeLifecycle(Lifecycle.READY, serverIds(31, 60));
    history.joinAll(12, 4, 98, false);
    history.leave(3);
    history.leave(9);
    history.endBatch();
    history.run(10);
    history.addServers(500, 60, 98, history.nowUs());
    history.sendListUpdate(serverIds(500, 559));
    history.join(20, 90, true);
    history.endBatch();
    history.run(10);
  }

  private static void boundedTablesOfFewZones(PolicyHistory history) {
    history.start(400, 2, 4);
    history.run(8);
    history.changeLifecycle(Lifecycle.DRAINING, serverIds(1, 200));
    history.endBatch();
    history.run(6);
    history.join(10, 2, true);
    history.endBatch();
    history.run(6);
  }

  /** Drains and restarts ever more servers at once on a channel with a small backlog limit. */
  private static void smallBacklog(PolicyHistory history) {
    history.start(24, 2, 8);
    history.run(6);
    for (int count = 1; count <= 12; count += 2) {
      history.changeLifecycle(Lifecycle.DRAINING, serverIds(1, count));
      history.endBatch();
      history.run(0.7);
      history.servers.get(13L + count).meanMs = 900;
      history.restart(serverIds(1, count));
      history.endBatch();
      history.run(1.6);
    }
    history.run(6);
  }
}
