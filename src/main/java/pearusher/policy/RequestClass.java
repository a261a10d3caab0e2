package pearusher.policy;

/** A request class; {@code groupAll}: all servers discard repeats of a keyed request. */
public record RequestClass(
    long aimUs,
    long deadlineUs,
    double worth,
    double lateWorth,
    Idempotency effect,
    boolean groupAll,
    long windowUs,
    boolean writes,
    boolean ownZone,
    double aimStretch) {}
