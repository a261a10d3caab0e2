package pearusher.policy;

/** A line of the list; {@code startedUs} 0: long ago. */
public record ServerEntry(
    long server, int zone, int kind, int cell, Lifecycle state, double weight, long startedUs) {}
