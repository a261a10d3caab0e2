package pearusher.scale;

/**
 * What collectors report.
 *
 * @param reportsPerSecond reports to each assigner
 * @param noise standard deviation of the logarithm of a mean response time
 * @param requestsPerSecond requests through each assigner
 */
record CollectorWorkload(
    int zones,
    double reportsPerSecond,
    double noise,
    boolean includesLoad,
    double requestsPerSecond,
    long periodNs,
    long seed) {}
