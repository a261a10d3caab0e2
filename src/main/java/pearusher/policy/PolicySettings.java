package pearusher.policy;

import java.util.List;

/** All that an instance is told at its start. */
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
    int defaultRetry,
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
    SiteTraits siteTraits) {}
