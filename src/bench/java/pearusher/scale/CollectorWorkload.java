package pearusher.scale;

/** What collectors say: lines a second to each assigner, and what share of a mean is noise. */
record CollectorWorkload(
    int zones,
    double reportsPerSecond,
    double noise,
    boolean includesLoad,
    double requestsPerSecond,
    long periodNs,
    long seed) {}
