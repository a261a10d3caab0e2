package pearusher.policy;

/**
 * A request class, whose requests share objective, priority and idempotency.
 *
 * @param latencyObjectiveUs response time to meet, in microseconds
 * @param deadlineUs time after which a response has no value, in microseconds
 * @param priorityWeight value of a response within the latency objective
 * @param latePriorityWeight value of a response after the latency objective
 * @param idempotency whether requests may be repeated
 * @param deduplicatedAcrossServers whether all servers together discard repeated requests by key
 * @param deduplicationWindowUs time for which a key is retained, in microseconds
 * @param writes whether the requests write
 * @param ownZoneOnly whether the requests must stay in their zone
 * @param objectiveStretch stretch of the latency objective, as configured; 0: none
 */
public record RequestClass(
    long latencyObjectiveUs,
    long deadlineUs,
    double priorityWeight,
    double latePriorityWeight,
    Idempotency idempotency,
    boolean deduplicatedAcrossServers,
    long deduplicationWindowUs,
    boolean writes,
    boolean ownZoneOnly,
    double objectiveStretch) {}
