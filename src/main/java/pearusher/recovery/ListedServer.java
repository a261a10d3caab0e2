package pearusher.recovery;

import pearusher.policy.AssignmentPolicy;
import pearusher.policy.Lifecycle;

/**
 * The last entry of the endpoint list for a server. {@link AssignmentPolicy.Entry} defines the
 * positions and times.
 *
 * @param hostPort address of the server, or null if the list contains none
 */
public record ListedServer(
    String name,
    String hostPort,
    int zone,
    int machineType,
    int cell,
    Lifecycle lifecycle,
    double weight,
    long startedUs) {

  ListedServer withLifecycle(Lifecycle other) {
    return new ListedServer(name, hostPort, zone, machineType, cell, other, weight, startedUs);
  }
}
