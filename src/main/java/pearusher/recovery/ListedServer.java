package pearusher.recovery;

import pearusher.policy.AssignmentPolicy;
import pearusher.policy.Lifecycle;

/**
 * What the list last said of a server; positions and times as in {@link AssignmentPolicy.Entry}.
 */
public record ListedServer(
    String name,
    String hostPort,
    int zone,
    int machineType,
    int cell,
    Lifecycle lifecycle,
    double weight,
    long startedUs) {}
