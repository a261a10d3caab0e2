package pearusher.policy;

import java.util.List;

/**
 * Settings of one instance of the policy.
 *
 * @param seed seed of all random choices
 * @param zones number of zones
 * @param requestClasses the request classes; elsewhere a class is identified by its position in
 *     this list
 * @param proxies number of proxies of the tier, over all instances
 * @param instance position of this instance
 * @param instances number of instances
 * @param zone zone of this instance
 * @param channel settings of the update channel to the proxies
 * @param limits limits that the service sets
 * @param costs cost of each action
 * @param admissionMode meaning of an admission level
 * @param defaultRetryMode retry mode of proxies for which none was published
 * @param attemptTimeoutObjectives timeout of an attempt, in latency objectives
 * @param controlPeriodUs length of the control period, in microseconds
 * @param maxReportsPerSecond maximum number of report lines accepted per second
 * @param consecutiveFailuresToEject number of consecutive failures after which a proxy avoids a
 *     server on its own
 * @param slices number of slices to serve; 0: none
 * @param endpointListOnRequest whether the endpoint list is sent on request, without a watch
 * @param healthChecksEnabled whether health checks may be requested
 * @param peersEnabled whether messages to other instances may be sent
 * @param loadReportSource source of load reports
 * @param loadMetrics metrics of a load report, in their order
 * @param weightsListed whether the endpoint list contains weights
 * @param tickUs resolution of the caller's clock, in microseconds
 * @param scoreWeights weights by which a result is scored
 * @param siteProperties behaviour of the proxies and servers of the site; null: unknown
 */
public record PolicySettings(
    long seed,
    int zones,
    List<RequestClass> requestClasses,
    int proxies,
    int instance,
    int instances,
    int zone,
    ChannelSettings channel,
    ServiceLimits limits,
    Costs costs,
    AdmissionMode admissionMode,
    int defaultRetryMode,
    double attemptTimeoutObjectives,
    long controlPeriodUs,
    double maxReportsPerSecond,
    int consecutiveFailuresToEject,
    int slices,
    boolean endpointListOnRequest,
    boolean healthChecksEnabled,
    boolean peersEnabled,
    LoadReportSource loadReportSource,
    List<LoadMetric> loadMetrics,
    boolean weightsListed,
    long tickUs,
    ScoreWeights scoreWeights,
    SiteProperties siteProperties) {

  /** Returns the number of zones, at least 1. */
  int zoneCount() {
    return Math.max(1, zones);
  }

  /**
   * Returns the shortest latency objective of all request classes, in microseconds; the control
   * period if there are no classes.
   */
  long shortestLatencyObjectiveUs() {
    return requestClasses.stream()
        .mapToLong(RequestClass::latencyObjectiveUs)
        .min()
        .orElse(controlPeriodUs);
  }

  /** Returns whether proxies are known to join the instance of their own zone. */
  boolean proxiesJoinInOwnZone() {
    return siteProperties != null && siteProperties.proxiesJoinInOwnZone();
  }
}
