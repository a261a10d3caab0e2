package pearusher.policy;

/** The figures of the rules. */
public record ServiceLimits(
    long maxUnboundUs,
    long drainGraceUs,
    double slowStartCapacity,
    long slowStartUs,
    double recoveryOverloadFactor,
    long recoveryUs,
    long maxPollIntervalUs,
    boolean softRemoval) {}
