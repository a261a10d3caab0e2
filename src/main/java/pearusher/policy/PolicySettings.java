package pearusher.policy;

import java.util.List;

/**
 * Everything that an instance of the policy is configured with.
 *
 * @param seed seed of all random choices
 * @param zones number of zones
 * @param requestClasses the request classes; elsewhere a class is its position in this list
 * @param proxies number of proxies of the tier, over all instances
 * @param instance position of this instance
 * @param instances number of instances
 * @param zone zone of this instance
 * @param channel the update channel to the proxies
 * @param limits limits that the service sets
 * @param costs what each action costs
 * @param admissionMode what an admission level means
 * @param defaultRetryMode retry mode of proxies for which none was published
 * @param attemptTimeoutObjectives timeout of an attempt, in latency objectives
 * @param controlPeriodUs length of the control period, in microseconds
 * @param maxReportsPerSecond most report lines that are taken in
 * @param consecutiveFailuresToEject failures in a row after which a proxy avoids a server by itself
 * @param slices number of slices to serve; 0: none
 * @param endpointListOnRequest whether the endpoint list comes on request, without a watch
 * @param healthChecksEnabled whether health checks may be requested
 * @param peersEnabled whether messages to other instances may be sent
 * @param loadReportSource where load reports come from
 * @param loadMetrics the metrics of a load report, in their order
 * @param weightsListed whether the endpoint list holds weights
 * @param tickUs resolution of the caller's clock, in microseconds
 * @param scoreWeights how a result is scored
 * @param siteTraits how proxies and servers of the site work; null: unknown
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
    SiteTraits siteTraits) {

  /** The number of zones, at least one. */
  int zoneCount() {
    return Math.max(1, zones);
  }

  /** The shortest latency objective of a class; the control period where there is no class. */
  long shortestLatencyObjectiveUs() {
    return requestClasses.stream()
        .mapToLong(RequestClass::latencyObjectiveUs)
        .min()
        .orElse(controlPeriodUs);
  }

  /** Whether proxies are known to join the instance of their own zone. */
  boolean proxiesJoinInOwnZone() {
    return siteTraits != null && siteTraits.proxiesJoinInOwnZone();
  }
}
