package pearusher.policy;

import java.util.List;

/** All that an instance is told at its start. */
public record PolicySettings(
    long seed,
    int zones,
    List<RequestClass> grades,
    int proxies,
    int me,
    int instances,
    int zone,
    ChannelSettings channel,
    ServiceLimits limits,
    Costs prices,
    AdmissionMode levels,
    int usualRetry,
    double tryAims,
    long periodUs,
    double intakePerS,
    int ejects,
    int slices,
    boolean listOnRequest,
    boolean probes,
    boolean peers,
    LoadReportSource reportFrom,
    List<LoadMetric> reportFields,
    boolean weightsListed,
    long tickUs,
    ScoreWeights goal,
    SiteTraits site) {}
