package pearusher.policy;

/**
 * How proxies and servers of the site are built; times for slices and exclusive owners among them.
 */
public record SiteTraits(
    PickMethod pickMethod,
    int bootstrapServers,
    double minConnections,
    int streamsPerConnection,
    long idleCloseUs,
    long connectTimeoutUs,
    double cpuUsPerSecond,
    boolean proxiesJoinInOwnZone,
    boolean keyAffinity,
    boolean exclusiveOwners,
    long parkUs,
    long tenureUs,
    long settleUs) {}
