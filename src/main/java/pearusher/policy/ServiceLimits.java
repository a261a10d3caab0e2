package pearusher.policy;

/** The figures of the rules. */
public record ServiceLimits(
    long bareUs,
    long graceUs,
    double coldFrom,
    long rampUs,
    double fallMultiple,
    long fallUs,
    long askWithinUs,
    boolean onlyDrainingBinds) {}
