package pearusher.policy;

import java.util.List;

/** Builds settings for recorded histories; each field has a default that a history may change. */
final class HistorySettings {
  private static final long SECOND = 1_000_000;

  long seed = 7;
  int zones = 2;
  int proxies = 8;
  int instances = 1;
  int classes = 2;
  double linesPerS = 3000;
  double backlog = 4500;
  int messagesMost;
  long graceUs = 2 * SECOND;
  long rampUs = 10 * SECOND;
  double crossZone;
  AdmissionMode levels = AdmissionMode.SHARE;
  double intakePerS = 150;
  int slices;
  boolean listOnRequest;
  boolean probes;
  boolean peers;
  LoadReportSource reportFrom = LoadReportSource.HEALTH_CHECKS;
  List<LoadMetric> reportFields = List.of(LoadMetric.QUEUE_LENGTH, LoadMetric.UTILIZATION);
  boolean ownZoneJoins;

  private static RequestClass grade(int number) {
    Idempotency effect =
        switch (number % 3) {
          case 0 -> Idempotency.IDEMPOTENT;
          case 1 -> Idempotency.NOT_IDEMPOTENT;
          default -> Idempotency.WITH_KEY;
        };
    boolean writes = effect != Idempotency.IDEMPOTENT;
    return new RequestClass(
        SECOND + number * 200_000L,
        3 * SECOND,
        1 + 2 * number,
        0.2,
        effect,
        writes,
        5 * SECOND,
        writes,
        false,
        0);
  }

  PolicySettings build() {
    List<RequestClass> grades = List.of(grade(0), grade(1), grade(2)).subList(0, classes);
    ChannelSettings channel =
        new ChannelSettings(linesPerS, 10, backlog, messagesMost, 10 * SECOND, 200_000, 500_000);
    ServiceLimits limits =
        new ServiceLimits(3 * SECOND, graceUs, 0.2, rampUs, 3, 2 * SECOND, 10 * SECOND, false);
    Costs prices = new Costs(crossZone, 0.02, 0.04, 0.05, 0.05, 0, 0, 0, 0, 0, 0);
    SiteTraits site =
        new SiteTraits(
            PickMethod.RANDOM,
            0,
            0,
            1,
            60 * SECOND,
            SECOND,
            0,
            ownZoneJoins,
            false,
            false,
            0,
            0,
            0);
    return new PolicySettings(
        seed,
        zones,
        grades,
        proxies,
        0,
        instances,
        0,
        channel,
        limits,
        prices,
        levels,
        1,
        1.2,
        SECOND,
        intakePerS,
        3,
        slices,
        listOnRequest,
        probes,
        peers,
        reportFrom,
        reportFields,
        false,
        5000,
        null,
        site);
  }
}
