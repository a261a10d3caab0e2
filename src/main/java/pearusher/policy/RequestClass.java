package pearusher.policy;

/**
 * A request class.
 *
 * @param latencyObjectiveUs response time to meet, in microseconds
 * @param deadlineUs time after which a response is worth nothing, in microseconds
 * @param priorityWeight value of a response within the objective
 * @param latePriorityWeight value of a later response
 * @param idempotency whether requests may be repeated
 * @param deduplicatedEverywhere whether all servers together discard repeats by key
 * @param deduplicationWindowUs how long a key is remembered, in microseconds
 * @param writes whether the requests write
 * @param ownZoneOnly whether the requests must stay in their zone
 * @param objectiveStretch the objective's stretch, as configured; 0: none
 */
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
