package pearusher.policy;

import static pearusher.policy.Statistics.total;

import java.util.List;

/**
 * Polls the utilization of a few servers past slow start by health checks, which show an overload
 * earlier than load reports. All instances together poll each server about once per period.
 */
final class UtilizationMonitor {
  /** Factor by which earlier results decay in each period. */
  private static final double DECAY_FACTOR = 0.5;

  /** Minimum number of results, after decay, for a valid mean. */
  private static final double MIN_RESULTS = 1;

  private final PolicySettings settings;
  private final PolicyCommands commands;
  private final FleetState fleet;
  private final SlowStart slowStart;

  private double utilizationSum;
  private double resultCount;

  /** Total listed weight of the servers past slow start at the last poll. */
  private double polledWeight;

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
    List<Server> candidates =
        fleet.scope().servers().stream().filter(server -> slowStart.isWarm(nowUs, server)).toList();
    decay(total(candidates, server -> server.listedWeight));
    if (isEnabled()) {
      pollNext(candidates);
    }
  }

  /**
   * Decays earlier results. The load of servers that left is attributed to the remaining servers
   * before these report it.
   */
  private void decay(double newPolledWeight) {
    utilizationSum *= DECAY_FACTOR * Math.max(1, polledWeight / Math.max(1, newPolledWeight));
    resultCount *= DECAY_FACTOR;
    polledWeight = newPolledWeight;
  }

  private boolean isEnabled() {
    return settings.healthChecksEnabled()
        && settings.loadReportSource() != LoadReportSource.NONE
        && settings.loadMetrics().contains(LoadMetric.UTILIZATION);
  }

  private void pollNext(List<Server> candidates) {
    int count = candidates.size();
    int polls = pollCount(count);
    for (int i = 0; i < polls; i++) {
      commands.checkHealth(candidates.get(Math.floorMod(nextServer++, count)).id);
    }
  }

  /**
   * Returns the number of servers to poll: the share of this instance, at most the square root of
   * their number.
   */
  private int pollCount(int candidateCount) {
    int instances = Math.max(1, settings.instances());
    int countPerInstance = (candidateCount + instances - 1) / instances;
    return Math.min(countPerInstance, (int) Math.ceil(Math.sqrt(candidateCount)));
  }

  boolean hasResults() {
    return resultCount >= MIN_RESULTS;
  }

  /** Returns the mean utilization, from 0 to 1; more than 1 is possible after servers have left. */
  double mean() {
    return utilizationSum / resultCount;
  }
}
