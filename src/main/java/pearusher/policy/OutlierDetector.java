package pearusher.policy;

import static pearusher.policy.Statistics.median;

import java.util.List;

/**
 * Cuts the weight of servers that fail more often than the fleet's median. The two thresholds of an
 * outlier matter to the log, to overload detection and to nothing else.
 */
final class OutlierDetector {
  /** Least factor of an outlier: enough attempts to see it recover. */
  private static final double MIN_FACTOR = 0.01;

  private static final double OUTLIER_BELOW_FACTOR = 0.3;
  private static final double RECOVERED_ABOVE_FACTOR = 0.6;

  private final PolicyCommands commands;

  OutlierDetector(PolicyCommands commands) {
    this.commands = commands;
  }

  void update(List<Server> servers) {
    double medianShare = median(servers, server -> server.failureShare);
    // Squared while most servers are healthy, plain in an overload.
    double exponent = 1 + Math.max(0, 1 - medianShare / OverloadDetector.OVERLOAD_FAILURE_SHARE);
    for (Server server : servers) {
      double excess = Math.max(0, Math.min(1, server.failureShare - medianShare));
      server.healthFactor = Math.max(MIN_FACTOR, Math.pow(1 - excess, exponent));
      updateState(server);
    }
  }

  private void updateState(Server server) {
    boolean detected = !server.outlier && server.healthFactor < OUTLIER_BELOW_FACTOR;
    boolean recovered = server.outlier && server.healthFactor > RECOVERED_ABOVE_FACTOR;
    if (detected || recovered) {
      server.outlier = detected;
      commands.log(
          "server " + Long.toHexString(server.id) + (detected ? " is an outlier" : " recovered"));
    }
  }
}
