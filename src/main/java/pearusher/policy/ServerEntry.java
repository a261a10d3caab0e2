package pearusher.policy;

/** A line of the list; {@code startedUs} 0: long ago. */
public record ServerEntry(
    long server,
    int zone,
    int machineType,
    int cell,
    Lifecycle lifecycle,
    double weight,
    long startedUs) {}
