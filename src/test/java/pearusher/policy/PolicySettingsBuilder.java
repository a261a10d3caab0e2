package pearusher.policy;

import java.util.List;

/** Builds policy settings for tests. Every setting has a default that a test may override. */
final class PolicySettingsBuilder {
  private static final long SECOND_US = PolicyFixture.SECOND_US;

  private long seed = 7;
  private int zones = 2;
  private List<RequestClass> requestClasses =
      List.of(requestClass(Idempotency.IDEMPOTENT, 1), requestClass(Idempotency.NOT_IDEMPOTENT, 3));
  private int proxies = 8;
  private int instances = 1;
  private double linesPerSecond = 3000;
  private double maxBacklogLines = 4500;
  private int maxMessagesPerProxy;
  private long drainGraceUs = 2 * SECOND_US;
  private long slowStartUs = 10 * SECOND_US;
  private double crossZoneCost;
  private AdmissionMode admissionMode = AdmissionMode.SHARE;
  private double maxReportsPerSecond = 150;
  private int slices;
  private boolean endpointListOnRequest = true;
  private boolean healthChecksEnabled = true;
  private boolean peersEnabled = true;
  private LoadReportSource loadReportSource = LoadReportSource.HEALTH_CHECKS;
  private List<LoadMetric> loadMetrics = List.of(LoadMetric.UTILIZATION);
  private SiteProperties siteProperties;

  /**
   * Returns a request class with a latency objective of one second and a deadline of three seconds.
   */
  static RequestClass requestClass(Idempotency idempotency, double priorityWeight) {
    boolean writes = idempotency == Idempotency.NOT_IDEMPOTENT;
    return new RequestClass(
        SECOND_US,
        3 * SECOND_US,
        priorityWeight,
        0.2,
        idempotency,
        false,
        5 * SECOND_US,
        writes,
        false,
        0);
  }

  PolicySettingsBuilder seed(long value) {
    seed = value;
    return this;
  }

  PolicySettingsBuilder zones(int value) {
    zones = value;
    return this;
  }

  PolicySettingsBuilder requestClasses(List<RequestClass> value) {
    requestClasses = value;
    return this;
  }

  /**
   * Replaces the two default request classes, one idempotent and one not, by a single idempotent
   * class.
   */
  PolicySettingsBuilder idempotentRequestsOnly() {
    return requestClasses(List.of(requestClass(Idempotency.IDEMPOTENT, 1)));
  }

  /** Sets the number of proxies of the fleet, all of which may join the instance. */
  PolicySettingsBuilder proxies(int value) {
    proxies = value;
    return this;
  }

  PolicySettingsBuilder instances(int value) {
    instances = value;
    return this;
  }

  PolicySettingsBuilder linesPerSecond(double value) {
    linesPerSecond = value;
    return this;
  }

  PolicySettingsBuilder maxBacklogLines(double value) {
    maxBacklogLines = value;
    return this;
  }

  PolicySettingsBuilder maxMessagesPerProxy(int value) {
    maxMessagesPerProxy = value;
    return this;
  }

  PolicySettingsBuilder drainGraceUs(long value) {
    drainGraceUs = value;
    return this;
  }

  PolicySettingsBuilder slowStartUs(long value) {
    slowStartUs = value;
    return this;
  }

  PolicySettingsBuilder crossZoneCost(double value) {
    crossZoneCost = value;
    return this;
  }

  PolicySettingsBuilder admissionMode(AdmissionMode value) {
    admissionMode = value;
    return this;
  }

  PolicySettingsBuilder maxReportsPerSecond(double value) {
    maxReportsPerSecond = value;
    return this;
  }

  PolicySettingsBuilder slices(int value) {
    slices = value;
    return this;
  }

  PolicySettingsBuilder endpointListOnRequest(boolean value) {
    endpointListOnRequest = value;
    return this;
  }

  PolicySettingsBuilder healthChecksEnabled(boolean value) {
    healthChecksEnabled = value;
    return this;
  }

  PolicySettingsBuilder peersEnabled(boolean value) {
    peersEnabled = value;
    return this;
  }

  PolicySettingsBuilder loadReportSource(LoadReportSource value) {
    loadReportSource = value;
    return this;
  }

  PolicySettingsBuilder loadMetrics(List<LoadMetric> value) {
    loadMetrics = value;
    return this;
  }

  PolicySettingsBuilder siteProperties(SiteProperties value) {
    siteProperties = value;
    return this;
  }

  private ChannelSettings channel() {
    return new ChannelSettings(
        linesPerSecond, 10, maxBacklogLines, maxMessagesPerProxy, 10 * SECOND_US, 200_000, 500_000);
  }

  private ServiceLimits limits() {
    return new ServiceLimits(
        3 * SECOND_US, drainGraceUs, 0.2, slowStartUs, 3, 2 * SECOND_US, 10 * SECOND_US, false);
  }

  private Costs costs() {
    return new Costs(crossZoneCost, 0.02, 0.04, 0.05, 0.05, 0, 0, 0, 0, 0, 0);
  }

  PolicySettings build() {
    return new PolicySettings(
        seed,
        zones,
        requestClasses,
        proxies,
        0,
        instances,
        0,
        channel(),
        limits(),
        costs(),
        admissionMode,
        1,
        1.2,
        SECOND_US,
        maxReportsPerSecond,
        3,
        slices,
        endpointListOnRequest,
        healthChecksEnabled,
        peersEnabled,
        loadReportSource,
        loadMetrics,
        false,
        5000,
        null,
        siteProperties);
  }
}
