package pearusher.scale;

/** What proxies are like. */
record ProxyWorkload(
    int proxies,
    int zones,
    int classes,
    double requestsPerSecond,
    long applyDelayNs,
    long periodNs) {}
