package pearusher.policy;

import static pearusher.policy.Statistics.total;

import java.util.List;

/**
 * Polls a few warm servers for their utilization by health checks, which show an overload before
 * load reports do. All instances together poll a server about once a period.
 */
final class UtilizationMonitor {
  /** Decay of earlier results each period. */
  private static final double DECAY = 0.5;

  /** Fewer results than this are no evidence. */
  private static final double MIN_RESULTS = 1;

  private final PolicySettings settings;
  private final PolicyCommands commands;
  private final FleetState fleet;
  private final SlowStart slowStart;

  private double utilizationSum;
  private double resultCount;

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
      resultCount++;
    }
  }

  /** Decays earlier results and polls the next servers. */
  void poll(long nowUs) {
    List<Server> warm =
        fleet.scope().servers().stream().filter(server -> slowStart.isWarm(nowUs, server)).toList();
    decay(total(warm, server -> server.listedWeight));
    if (isEnabled()) {
      pollSome(warm);
    }
  }

  /** The load of servers that left is attributed to the remaining ones, before they report it. */
  private void decay(double newWarmWeight) {
    utilizationSum *= DECAY * Math.max(1, warmWeight / Math.max(1, newWarmWeight));
    resultCount *= DECAY;
    warmWeight = newWarmWeight;
  }

  private boolean isEnabled() {
    return settings.healthChecksEnabled()
        && settings.loadReportSource() != LoadReportSource.NONE
        && settings.loadMetrics().contains(LoadMetric.UTILIZATION);
  }

  private void pollSome(List<Server> warm) {
    int count = warm.size();
    int polls = pollCount(count);
    for (int i = 0; i < polls; i++) {
      commands.checkHealth(warm.get(Math.floorMod(nextServer++, count)).id);
    }
  }

  /** This instance's part of the warm servers, and no more than their square root. */
  private int pollCount(int warmCount) {
    int instances = Math.max(1, settings.instances());
    int evenPart = (warmCount + instances - 1) / instances;
    return Math.min(evenPart, (int) Math.ceil(Math.sqrt(warmCount)));
  }

  boolean hasResults() {
    return resultCount >= MIN_RESULTS;
  }

  /** Mean utilization, from 0 to 1; more where warm servers left. */
  double mean() {
    return utilizationSum / resultCount;
  }
}
