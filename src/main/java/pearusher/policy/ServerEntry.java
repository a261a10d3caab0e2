package pearusher.policy;

/**
 * An entry of the endpoint list.
 *
 * @param server number of the server
 * @param zone zone of the server
 * @param machineType machine type of the server
 * @param cell cell of the server
 * @param lifecycle lifecycle state of the server
 * @param weight capacity relative to other servers; 0 or less: not in the list
 * @param startedUs start time of the current incarnation, in microseconds; 0: long ago
 */
public record ServerEntry(
    long server,
    int zone,
    int machineType,
    int cell,
    Lifecycle lifecycle,
    double weight,
    long startedUs) {}
