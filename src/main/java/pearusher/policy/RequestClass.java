package pearusher.policy;

/** A request class; {@code groupAll}: all servers discard repeats of a keyed request. */
public record RequestClass(
    long latencyObjectiveUs,
    long deadlineUs,
    double priorityWeight,
    double latePriorityWeight,
    Idempotency idempotency,
    boolean deduplicatedEverywhere,
    long deduplicationWindowUs,
    boolean writes,
    boolean ownZoneOnly,
    double objectiveStretch) {}
