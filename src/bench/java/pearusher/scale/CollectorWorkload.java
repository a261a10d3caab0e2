package pearusher.scale;

/**
 * The load reports that simulated collectors send.
 *
 * @param reportsPerSecond reports per second to each assigner
 * @param noise standard deviation of the logarithm of a mean response time
 * @param requestsPerSecond requests per second of the proxies of each assigner
 */
record CollectorWorkload(
    int zones,
    double reportsPerSecond,
    double noise,
    boolean includesLoad,
    double requestsPerSecond,
    long periodNs,
    long seed) {}
