package pearusher.policy;

/**
 * Behaviour of the proxies and servers of a site.
 *
 * @param pickMethod method by which proxies pick a server
 * @param bootstrapServers number of servers that a proxy has at its start
 * @param minConnections minimum number of connections that a proxy keeps open
 * @param streamsPerConnection maximum number of streams per connection
 * @param idleCloseUs idle time after which a connection closes, in microseconds
 * @param connectTimeoutUs timeout of a connection attempt, in microseconds
 * @param cpuUsPerSecond processor time available to a proxy, in microseconds per second
 * @param proxiesJoinInOwnZone whether proxies join the instance of their own zone
 * @param keyAffinity whether servers keep the keys that they have served in a cache
 * @param exclusiveOwners whether a slice has only one owner at a time
 * @param parkUs parking time of a slice, in microseconds
 * @param tenureUs tenure of an owner of a slice, in microseconds
 * @param settleUs settling time after a change of owner, in microseconds
 */
public record SiteProperties(
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
