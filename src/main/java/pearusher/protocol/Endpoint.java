package pearusher.protocol;

import pearusher.policy.Lifecycle;

/**
 * A server as discovery lists it.
 *
 * @param server its id
 * @param hostPort its address as text, or null if there is none that can be used
 * @param zone the index of its zone in the settings
 * @param machineType the index of its machine type; the number of types if it is unknown
 * @param cell the cell that it runs in
 * @param lifecycle its state
 * @param weight its share of the load, relative to others
 * @param startedUs when it last started, in Unix time in microseconds; 0 if long ago
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
