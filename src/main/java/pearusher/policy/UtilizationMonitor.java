package pearusher.policy;

import static pearusher.policy.Statistics.total;

import java.util.List;

/**
 * Polls a few warm servers for their utilization by health checks, which tell of overload before
 * reports do. All instances together poll a server about once a period.
 */
final class UtilizationMonitor {
  /** Decay of earlier answers each period. */
  private static final double DECAY = 0.5;

  /** Fewer answers than this tell nothing. */
  private static final double MIN_ANSWERS = 1;

  private final PolicySettings settings;
  private final PolicyCommands commands;
  private final FleetState fleet;
  private final SlowStart slowStart;

  private double utilizationSum;
  private double answers;

  /** Listed weight of the warm servers at the last poll. */
  private double warmWeight;

  private int nextServer;

  UtilizationMonitor(
      PolicySettings settings, PolicyCommands commands, FleetState fleet, SlowStart slowStart) {
    this.settings = settings;
    this.commands = commands;
    this.fleet = fleet;
    this.slowStart = slowStart;
  }

  void onHealthCheckResult(long serverId, HealthCheckResult result, float[] load) {
    int position = settings.loadMetrics().indexOf(LoadMetric.UTILIZATION);
    boolean serving = fleet.servers().find(serverId).filter(Server::isServing).isPresent();
    if (result != HealthCheckResult.OK || !serving) {
      return;
    }
    if (position >= 0 && position < load.length) {
      utilizationSum += Math.max(0, Math.min(1, load[position]));
      answers++;
    }
  }

  /** Decays earlier answers and polls the next servers. */
  void poll(long nowUs) {
    List<Server> warm =
        fleet.scope().servers().stream().filter(server -> slowStart.isWarm(nowUs, server)).toList();
    decay(total(warm, server -> server.listedWeight));
    if (isEnabled()) {
      pollSome(warm);
    }
  }

  /** The load of servers that left counts to those that stay, before these can report it. */
  private void decay(double newWarmWeight) {
    utilizationSum *= DECAY * Math.max(1, warmWeight / Math.max(1, newWarmWeight));
    answers *= DECAY;
    warmWeight = newWarmWeight;
  }

  private boolean isEnabled() {
    return settings.healthChecksEnabled()
        && settings.loadReportSource() != LoadReportSource.NONE
        && settings.loadMetrics().contains(LoadMetric.UTILIZATION);
  }

  private void pollSome(List<Server> warm) {
    int count = warm.size();
    for (int k = 0; k * k < count && k * settings.instances() < count; k++) {
      commands.checkHealth(warm.get(Math.floorMod(nextServer++, count)).id);
    }
  }

  boolean hasAnswers() {
    return answers >= MIN_ANSWERS;
  }

  /** Mean utilization, from 0 to 1; more where warm servers left. */
  double mean() {
    return utilizationSum / answers;
  }
}
