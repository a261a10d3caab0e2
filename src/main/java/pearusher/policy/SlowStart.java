package pearusher.policy;

import java.util.List;

/**
 * Computes the progress of servers through slow start: their available capacity and the factor of
 * their weight.
 */
final class SlowStart {
  /** Initial weight of a new server, as a share of the mean weight. */
  private static final double INITIAL_WEIGHT_SHARE = 0.1;

  private final ServiceLimits limits;

  SlowStart(ServiceLimits limits) {
    this.limits = limits;
  }

  void update(long nowUs, List<Server> servers) {
    for (Server server : servers) {
      double progress = rampProgress(nowUs, server);
      double progressSinceListed =
          server.startedUs == 0 ? 1 : rampLengths(nowUs - server.firstListedUs);
      server.availableCapacityShare = ramp(limits.slowStartCapacity(), progress, progress);
      server.slowStartFactor = ramp(INITIAL_WEIGHT_SHARE, progress, progressSinceListed);
    }
  }

  /**
   * Returns whether the ramp since the server's start has ended, regardless of the weight that the
   * server has reached.
   */
  boolean isWarm(long nowUs, Server server) {
    return rampProgress(nowUs, server) >= 1;
  }

  private double rampProgress(long nowUs, Server server) {
    return server.startedUs == 0 ? 1 : rampLengths(nowUs - server.startedUs);
  }

  private double rampLengths(long durationUs) {
    return durationUs / Math.max(1.0, (double) limits.slowStartUs());
  }

  /**
   * Returns a value that rises linearly from a first value to 1.
   *
   * @param age time since the start of the server, in lengths of the ramp; from 1 on the result is
   *     1
   * @param progress upper bound of the position on the ramp, in lengths of the ramp
   */
  private static double ramp(double first, double age, double progress) {
    return age >= 1 ? 1 : first + (1 - first) * Math.max(0, Math.min(age, progress));
  }
}
