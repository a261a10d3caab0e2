package pearusher.policy;

import static pearusher.policy.PolicyHistory.serverIds;

import java.util.List;
import java.util.stream.Stream;

/** Scenarios with overload, health checks, and servers that are added during an overload. */
final class OverloadScenarios {
  private OverloadScenarios() {}

  static List<PolicyScenario> scenarios() {
    return Stream.of(withoutHealthChecks(), withHealthChecks()).flatMap(List::stream).toList();
  }

  private static List<PolicyScenario> withoutHealthChecks() {
    return List.of(
        new PolicyScenario(
            "overload-by-rate",
            HistorySettings.defaults()
                .zones(4)
                .requestClasses(HistorySettings.requestClasses(3))
                .admissionMode(AdmissionMode.RATE)
                .build(),
            5,
            OverloadScenarios::overload),
        new PolicyScenario(
            "overload-by-share",
            HistorySettings.defaults().requestClasses(HistorySettings.requestClasses(3)).build(),
            6,
            OverloadScenarios::overload),
        new PolicyScenario(
            "overload-without-levels",
            HistorySettings.defaults()
                .crossZoneCost(0.06)
                .admissionMode(AdmissionMode.NONE)
                .build(),
            7,
            OverloadScenarios::overload),
        new PolicyScenario(
            "overload-with-slow-reports",
            HistorySettings.defaults()
                .requestClasses(HistorySettings.requestClasses(3))
                .maxReportsPerSecond(20)
                .build(),
            29,
            OverloadScenarios::overload),
        new PolicyScenario(
            "growth-in-a-jam",
            HistorySettings.defaults().admissionMode(AdmissionMode.RATE).build(),
            14,
            OverloadScenarios::scaleUpDuringOverload),
        new PolicyScenario(
            "mostly-cold-servers",
            HistorySettings.defaults().build(),
            33,
            OverloadScenarios::mostlyServersInSlowStart));
  }

  private static List<PolicyScenario> withHealthChecks() {
    return List.of(
        new PolicyScenario(
            "probes-of-a-small-fleet",
            HistorySettings.defaults().zones(1).healthChecksEnabled(true).build(),
            30,
            OverloadScenarios::utilizationPollingOfFewServers),
        new PolicyScenario(
            "probes-tell-utilization",
            HistorySettings.defaults()
                .healthChecksEnabled(true)
                .instances(2)
                .maxReportsPerSecond(20)
                .build(),
            8,
            OverloadScenarios::utilizationPolling),
        new PolicyScenario(
            "probes-without-utilization",
            HistorySettings.defaults()
                .healthChecksEnabled(true)
                .loadMetrics(List.of(LoadMetric.QUEUE_LENGTH))
                .build(),
            9,
            OverloadScenarios::utilizationPolling));
  }

  private static void overload(PolicyHistory history) {
    history.start(16, history.settings.zones(), 8);
    history.run(10);
    history.slowdownFactor = 4;
    history.failureShare = 0.4;
    history.requestsPerSecond = 40;
    history.run(8);
    history.failureShare = 0.2;
    history.run(6);
    history.slowdownFactor = 1.5;
    history.failureShare = 0.05;
    history.run(10);
    history.slowdownFactor = 5;
    history.run(6);
    history.slowdownFactor = 1;
    history.failureShare = 0;
    history.requestsPerSecond = 10;
    history.run(35);
  }

  private static void utilizationPolling(PolicyHistory history) {
    history.start(20, 2, 8);
    history.addServers(21, 2, 2, history.nowUs());
    history.sendListUpdate(serverIds(21, 22));
    history.run(10);
    history.utilization = 0.95;
    history.slowdownFactor = 3;
    history.failureShare = 0.3;
    history.run(12);
    history.changeLifecycle(Lifecycle.DRAINING, serverIds(1, 5));
    history.endBatch();
    history.run(4);
    history.utilization = 0.75;
    history.run(6);
    history.utilization = 0.3;
    history.slowdownFactor = 1;
    history.failureShare = 0;
    history.run(20);
  }

  private static void utilizationPollingOfFewServers(PolicyHistory history) {
    history.utilization = 0.9;
    history.healthCheckLoss = 0;
    history.start(4, 1, 4);
    history.run(6);
    history.healthCheckLoss = 0.3;
    history.slowdownFactor = 3;
    history.failureShare = 0.3;
    history.run(8);
    history.utilization = 0.5;
    history.run(12);
  }

  /**
   * Servers are added in waves while some attempts fail and reports are suspended for some time.
   */
  private static void scaleUpDuringOverload(PolicyHistory history) {
    history.start(10, 2, 8);
    history.run(5);
    history.slowdownFactor = 3;
    history.failureShare = 0.6;
    history.run(4);
    double[] failures = {0.5, 0.3, 0.12, 0.08, 0.04};
    for (int wave = 0; wave < failures.length; wave++) {
      history.failureShare = failures[wave];
      history.slowdownFactor = 1 + wave % 2;
      long first = 11L + 6L * wave;
      history.addServers(first, 6, 2, history.nowUs());
      history.sendListUpdate(serverIds(first, first + 5));
      history.endBatch();
      history.run(2.7);
      history.reportsSuspended = true;
      history.run(1 + wave * 0.6);
      history.reportsSuspended = false;
      history.run(2.3);
    }
    history.failureShare = 0;
    history.run(8);
  }

  /**
   * Few servers past slow start, many servers in slow start, failures, and reports that are
   * suspended for random times.
   */
  private static void mostlyServersInSlowStart(PolicyHistory history) {
    history.start(2, 2, 8);
    history.run(4);
    history.failureShare = 0.3;
    history.addServers(3, 40, 2, history.nowUs());
    history.sendListUpdate(serverIds(3, 42));
    history.endBatch();
    for (int pause = 0; pause < 10; pause++) {
      history.run(1 + history.random.nextDouble());
      history.reportsSuspended = true;
      history.run(1 + 2 * history.random.nextDouble());
      history.reportsSuspended = false;
      history.failureShare = 0.05 * (pause % 3);
      history.restart(serverIds(3 + 4 * pause, 6 + 4 * pause));
      history.endBatch();
    }
  }
}
