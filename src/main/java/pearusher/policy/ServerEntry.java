package pearusher.policy;

/**
 * An entry of the endpoint list.
 *
 * @param server the server's number
 * @param zone its zone
 * @param machineType its type of machine
 * @param cell its cell
 * @param lifecycle its state
 * @param weight its size relative to others; 0 or less: not listed
 * @param startedUs start of its present incarnation; 0: long ago
 */
public record ServerEntry(
    long server,
    int zone,
    int machineType,
    int cell,
    Lifecycle lifecycle,
    double weight,
    long startedUs) {}
