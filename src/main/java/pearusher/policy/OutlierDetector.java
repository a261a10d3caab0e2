package pearusher.policy;

import static pearusher.policy.Statistics.median;

import java.util.List;

/**
 * Reduces the weight of servers whose share of failed attempts exceeds the median of the fleet. The
 * outlier state, with its thresholds for detection and recovery, affects only the log and the
 * recent attempts from which overload is detected and success forecast.
 */
final class OutlierDetector {
  /** Minimum health factor: enough attempts reach an outlier to detect its recovery. */
  private static final double MIN_HEALTH_FACTOR = 0.01;

  private static final double OUTLIER_BELOW_HEALTH_FACTOR = 0.3;
  private static final double RECOVERED_ABOVE_HEALTH_FACTOR = 0.6;

  private final PolicyCommands commands;

  OutlierDetector(PolicyCommands commands) {
    this.commands = commands;
  }

  void update(List<Server> servers) {
    double medianShare = median(servers, server -> server.failureShare);
    // The exponent falls from 2, when most servers have no failures, to 1, when the median
    // indicates overload.
    double exponent = 1 + Math.max(0, 1 - medianShare / OverloadDetector.OVERLOAD_FAILURE_SHARE);
    for (Server server : servers) {
      double excess = Math.max(0, Math.min(1, server.failureShare - medianShare));
      server.healthFactor = Math.max(MIN_HEALTH_FACTOR, StrictMath.pow(1 - excess, exponent));
      updateState(server);
    }
  }

  private void updateState(Server server) {
    boolean detected = !server.outlier && server.healthFactor < OUTLIER_BELOW_HEALTH_FACTOR;
    boolean recovered = server.outlier && server.healthFactor > RECOVERED_ABOVE_HEALTH_FACTOR;
    if (detected || recovered) {
      server.outlier = detected;
      commands.log(
          "server " + Long.toHexString(server.id) + (detected ? " is an outlier" : " recovered"));
    }
  }
}
