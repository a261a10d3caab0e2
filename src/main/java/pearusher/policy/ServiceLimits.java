package pearusher.policy;

/**
 * Limits that the service sets.
 *
 * @param maxUnboundUs maximum time that a proxy may be without a server, in microseconds
 * @param drainGraceUs time from the start of a server's drain until no proxy may use it, in
 *     microseconds
 * @param slowStartCapacity capacity of a server at its start, as a share of its full capacity
 * @param slowStartUs time from a server's start until it has its full capacity, in microseconds
 * @param recoveryOverloadFactor maximum load of a server in slow start, in multiples of its
 *     capacity
 * @param recoveryUs duration of a recovery, in microseconds
 * @param maxPollIntervalUs maximum time without a request for the endpoint list, in microseconds
 * @param softRemoval whether servers are removed softly
 */
public record ServiceLimits(
    long maxUnboundUs,
    long drainGraceUs,
    double slowStartCapacity,
    long slowStartUs,
    double recoveryOverloadFactor,
    long recoveryUs,
    long maxPollIntervalUs,
    boolean softRemoval) {}
