package pearusher.protocol;

import pearusher.policy.Lifecycle;

/**
 * One server of an endpoint list.
 *
 * @param server the id of the server
 * @param hostPort the address as {@code host:port}, or null if the list has no usable one
 * @param zone the index of the zone in the settings
 * @param machineType the index of the machine type in the settings; the number of machine types if
 *     the type is unknown
 * @param cell the cell that the server runs in
 * @param lifecycle the lifecycle state
 * @param weight the share of the load, relative to other servers
 * @param startedUs the time of the last start, in Unix time in microseconds; 0 if the server
 *     started long ago
 */
public record Endpoint(
    String server,
    String hostPort,
    int zone,
    int machineType,
    int cell,
    Lifecycle lifecycle,
    double weight,
    long startedUs) {}
