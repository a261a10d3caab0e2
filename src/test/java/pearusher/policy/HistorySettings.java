package pearusher.policy;

import java.util.ArrayList;
import java.util.List;

/** Default settings of the recorded histories. */
final class HistorySettings {
  private static final long SECOND_US = PolicyFixture.SECOND_US;

  private HistorySettings() {}

  static PolicySettingsBuilder defaults() {
    return new PolicySettingsBuilder()
        .requestClasses(requestClasses(2))
        .endpointListOnRequest(false)
        .healthChecksEnabled(false)
        .peersEnabled(false)
        .loadMetrics(List.of(LoadMetric.QUEUE_LENGTH, LoadMetric.UTILIZATION))
        .siteProperties(siteProperties(false));
  }

  /** Returns classes that are, in turn, idempotent, not idempotent, and idempotent with a key. */
  static List<RequestClass> requestClasses(int count) {
    List<RequestClass> requestClasses = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      requestClasses.add(requestClass(number));
    }
    return List.copyOf(requestClasses);
  }

  private static RequestClass requestClass(int number) {
    Idempotency idempotency =
        switch (number % 3) {
          case 0 -> Idempotency.IDEMPOTENT;
          case 1 -> Idempotency.NOT_IDEMPOTENT;
          default -> Idempotency.WITH_KEY;
        };
    boolean writes = idempotency != Idempotency.IDEMPOTENT;
    return new RequestClass(
        SECOND_US + number * 200_000L,
        3 * SECOND_US,
        1 + 2 * number,
        0.2,
        idempotency,
        writes,
        5 * SECOND_US,
        writes,
        false,
        0);
  }

  static SiteProperties siteProperties(boolean proxiesJoinInOwnZone) {
    return new SiteProperties(
        PickMethod.RANDOM,
        0,
        0,
        1,
        60 * SECOND_US,
        SECOND_US,
        0,
        proxiesJoinInOwnZone,
        false,
        false,
        0,
        0,
        0);
  }
}
