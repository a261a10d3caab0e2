package pearusher.policy;

import static pearusher.policy.PolicyHistory.serverIds;

import java.util.Arrays;
import java.util.List;

/** Scenarios of random events. */
final class RandomScenarios {
  private static final int RANDOM_EVENTS = 60;

  private RandomScenarios() {}

  static List<PolicyScenario> scenarios() {
    return List.of(
        new PolicyScenario(
            "random-small",
            HistorySettings.defaults().zones(4).build(),
            23,
            RandomScenarios::randomEvents),
        new PolicyScenario(
            "random-priced",
            HistorySettings.defaults()
                .zones(3)
                .requestClasses(HistorySettings.requestClasses(3))
                .crossZoneCost(0.06)
                .admissionMode(AdmissionMode.RATE)
                .healthChecksEnabled(true)
                .endpointListOnRequest(true)
                .build(),
            24,
            RandomScenarios::randomEvents),
        new PolicyScenario(
            "random-narrow",
            HistorySettings.defaults()
                .linesPerSecond(150)
                .maxBacklogLines(225)
                .maxMessagesPerProxy(8)
                .build(),
            25,
            RandomScenarios::randomEvents));
  }

  /**
   * Triggers random events in batches of one or more, at intervals of half a second to one and a
   * half seconds.
   */
  private static void randomEvents(PolicyHistory history) {
    history.start(12, history.settings.zones(), 6);
    for (int event = 0; event < RANDOM_EVENTS; event++) {
      randomEvent(history);
      if (history.random.nextInt(3) > 0) {
        history.endBatch();
        history.run(0.5 + history.random.nextInt(3) / 2.0);
      }
    }
    history.run(5);
  }

  private static void randomEvent(PolicyHistory history) {
    long id = 1L + history.random.nextInt(history.servers.size());
    PolicyHistory.ServerModel server = history.servers.get(id);
    switch (history.random.nextInt(16)) {
      case 0, 1 -> history.changeLifecycle(Lifecycle.DRAINING, List.of(id));
      case 2 -> history.changeLifecycle(Lifecycle.REMOVED, List.of(id));
      case 3, 4 -> history.changeLifecycle(Lifecycle.READY, List.of(id));
      case 5 -> history.restart(List.of(id));
      case 6 -> {
        long firstNew = history.servers.size() + 1L;
        history.addServers(firstNew, 2, history.settings.zones(), history.nowUs());
        history.sendListUpdate(serverIds(firstNew, firstNew + 1));
      }
      case 7, 8 -> {
        int proxy = history.random.nextInt(40);
        if (!history.proxies.containsKey(proxy)) {
          history.join(proxy, proxy % history.settings.zones(), history.random.nextBoolean());
        }
      }
      case 9 ->
          history.proxies.keySet().stream()
              .skip(history.random.nextInt(6))
              .findFirst()
              .ifPresent(history::leave);
      case 10 -> server.meanMs = 100 + history.random.nextInt(1500);
      case 11 -> server.failureShare = history.random.nextDouble();
      case 12 -> {
        history.slowdownFactor = 1 + history.random.nextInt(3);
        history.failureShare = history.random.nextInt(4) / 10.0;
      }
      case 13 -> history.acknowledgementLoss = history.random.nextDouble() / 2;
      case 14 ->
          history.reportsSuspended = !history.reportsSuspended && history.random.nextBoolean();
      default -> history.sendEndpointList(randomListKind(history));
    }
  }

  private static ListUpdateKind randomListKind(PolicyHistory history) {
    return Arrays.asList(
            ListUpdateKind.COMPLETE,
            ListUpdateKind.CACHED,
            ListUpdateKind.FAILED,
            ListUpdateKind.DELTA)
        .get(history.random.nextInt(4));
  }
}
