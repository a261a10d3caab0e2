package pearusher.scale;

/**
 * The number of simulated proxies and the load of each.
 *
 * @param requestsPerSecond requests per second of each proxy and class
 * @param applyDelayNs time from an update to its acknowledgement
 * @param periodNs time between usage reports
 */
record ProxyWorkload(
    int proxies,
    int zones,
    int classes,
    double requestsPerSecond,
    long applyDelayNs,
    long periodNs) {}
