package pearusher.policy;

import java.util.List;

/** How far each server has warmed up: its ready capacity, and the factor of its weight. */
final class SlowStart {
  /** First weight of a new server, as a share of the average. */
  private static final double INITIAL_WEIGHT_SHARE = 0.1;

  private final ServiceLimits limits;

  SlowStart(ServiceLimits limits) {
    this.limits = limits;
  }

  void update(long nowUs, List<Server> servers) {
    for (Server server : servers) {
      double progress = rampProgress(nowUs, server);
      double progressSinceListed =
          server.startedUs == 0 ? 1 : shareOfRamp(nowUs - server.firstListedUs);
      server.readiness = ramp(limits.slowStartCapacity(), progress, progress);
      server.slowStartFactor = ramp(INITIAL_WEIGHT_SHARE, progress, progressSinceListed);
    }
  }

  /** Whether the ramp since the server's start is over, whatever its weight has reached. */
  boolean isWarm(long nowUs, Server server) {
    return rampProgress(nowUs, server) >= 1;
  }

  private double rampProgress(long nowUs, Server server) {
    return server.startedUs == 0 ? 1 : shareOfRamp(nowUs - server.startedUs);
  }

  private double shareOfRamp(long durationUs) {
    return durationUs / Math.max(1.0, (double) limits.slowStartUs());
  }

  /** Linear from a first value to 1; a server past the ramp is at 1 whatever its progress. */
  private static double ramp(double first, double age, double progress) {
    return age >= 1 ? 1 : first + (1 - first) * Math.max(0, Math.min(age, progress));
  }
}
