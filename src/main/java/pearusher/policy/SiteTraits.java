package pearusher.policy;

/**
 * How the proxies and servers of a site work.
 *
 * @param pickMethod how proxies pick a server
 * @param bootstrapServers servers that a proxy knows at its start
 * @param minConnections least connections that a proxy keeps
 * @param streamsPerConnection most streams on a connection
 * @param idleCloseUs idle time after which a connection closes, in microseconds
 * @param connectTimeoutUs timeout of a connection attempt, in microseconds
 * @param cpuUsPerSecond processor time that a proxy has, in microseconds per second
 * @param proxiesJoinInOwnZone whether proxies join the instance of their own zone
 * @param keyAffinity whether servers keep keys that they served warm
 * @param exclusiveOwners whether a slice has one owner at a time
 * @param parkUs parking time of a slice, in microseconds
 * @param tenureUs tenure of an owner of a slice, in microseconds
 * @param settleUs settling time after a change of owner, in microseconds
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
