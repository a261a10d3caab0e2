package pearusher.policy;

/**
 * How proxies and servers of the site are built; times for slices and exclusive owners among them.
 */
public record SiteTraits(
    PickMethod pick,
    int standing,
    double connsLeast,
    int streamsPerConn,
    long idleCloseUs,
    long connectTimeoutUs,
    double cpuUsPerS,
    boolean ownZoneJoins,
    boolean warmKeys,
    boolean exclusive,
    long parkUs,
    long tenureUs,
    long settleUs) {}
