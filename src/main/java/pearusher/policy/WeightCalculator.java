package pearusher.policy;

import static pearusher.policy.Statistics.total;

import java.util.List;

/**
 * Computes a zone's table: each server's share is inverse to its time plus the distance to it,
 * reduced for outliers and in slow start, and changes by bounded steps.
 */
final class WeightCalculator {
  /** Attempts at the server's average over all zones that are added to those of one zone. */
  private static final double POOLED_ATTEMPTS = 150.0;

  /** A failure counts as the largest mean time multiplied by this. */
  private static final double FAILURE_TIME_FACTOR = 2.0;

  /** Bounds of a share's change in a period: reports lag, and large steps would oscillate. */
  private static final double MAX_GROWTH = 1.3;

  private static final double MAX_SHRINK = 0.6;

  /** A server that recovered returns to this share of an even one at once. */
  private static final double RECOVERED_SHARE = 0.4;

  /** Health factor above which the shrinking is bounded. */
  private static final double BOUNDED_FROM_FACTOR = 0.5;

  private final FleetState fleet;
  private final ControlClock clock;
  private final RestartHold hold;
  private final LocalityPreference locality;
  private final SlowStartBudget slowStartBudget;

  WeightCalculator(
      FleetState fleet,
      ControlClock clock,
      RestartHold hold,
      LocalityPreference locality,
      SlowStartBudget slowStartBudget) {
    this.fleet = fleet;
    this.clock = clock;
    this.hold = hold;
    this.locality = locality;
    this.slowStartBudget = slowStartBudget;
  }

  /** Recomputes the planned shares of a zone's table. */
  void recompute(int zone) {
    ZoneTable table = fleet.tables().get(zone);
    List<Server> servers = fleet.scope().servers();
    estimateZoneTimes(zone, servers);
    assignShares(zone, table, servers);
    normalise(servers);
    slowStartBudget.capShares();
    table.plan(servers, server -> server.share);
  }

  private static void estimateZoneTimes(int zone, List<Server> servers) {
    double failureTimeUs =
        servers.stream().mapToDouble(server -> server.meanTimeUs).max().orElse(0)
            * FAILURE_TIME_FACTOR;
    double warmSpeed = 0;
    double warmWeight = 0;
    for (Server server : servers) {
      server.zoneTimeUs = zoneTimeUs(zone, server, failureTimeUs);
      server.weightFactor = server.healthFactor * server.slowStartFactor * server.listedWeight;
      if (server.slowStartFactor >= 1) {
        warmSpeed += server.healthFactor * server.listedWeight / server.zoneTimeUs;
        warmWeight += server.listedWeight;
      }
    }
    if (warmWeight > 0) {
      double warmTimeUs = warmWeight / warmSpeed;
      servers.stream()
          .filter(server -> server.slowStartFactor < 1)
          .forEach(server -> server.zoneTimeUs = Math.max(warmTimeUs, server.zoneTimeUs));
    }
  }

  private static double zoneTimeUs(int zone, Server server, double failureTimeUs) {
    AttemptStats stats = server.attempts.past(zone);
    double failed = server.failedAttempts();
    double succeeded = ResponseTimeEstimator.weightedAttempts(server);
    double pooledUs =
        (server.meanTimeUs * succeeded + failed * failureTimeUs) / (succeeded + failed);
    return (stats.totalTimeUs + stats.failed * failureTimeUs + POOLED_ATTEMPTS * pooledUs)
        / (stats.succeeded + stats.failed + POOLED_ATTEMPTS);
  }

  private void assignShares(int zone, ZoneTable table, List<Server> servers) {
    double distanceUs = locality.distanceUs(zone);
    double totalWeight =
        total(servers, server -> LocalityPreference.rawWeight(server, zone, distanceUs));
    boolean nothingSucceeded =
        total(servers, Server::succeededAttempts) < 1 && !table.plannedShares.isEmpty();
    boolean hasBasis = clock.periodsWithReports() > 0 || hold.hasRestoredTables();
    for (Server server : servers) {
      server.share = LocalityPreference.rawWeight(server, zone, distanceUs) / totalWeight;
      Double lastShare = table.plannedShares.get(server.id);
      if (lastShare != null && server.slowStartFactor >= 1 && hasBasis) {
        server.share =
            nothingSucceeded ? lastShare : boundedShare(server, lastShare, servers.size());
      }
    }
  }

  private static double boundedShare(Server server, double lastShare, int serverCount) {
    double most = Math.max(lastShare * MAX_GROWTH, RECOVERED_SHARE / serverCount);
    double least = server.healthFactor > BOUNDED_FROM_FACTOR ? lastShare * MAX_SHRINK : 0;
    return Math.max(least, Math.min(most, server.share));
  }

  private static void normalise(List<Server> servers) {
    double sum = total(servers, server -> server.share);
    servers.forEach(server -> server.share /= sum);
  }
}
