package pearusher.policy;

import static pearusher.policy.Statistics.total;

import java.util.List;

/**
 * Computes a zone's table. Each server's share is inverse to its response time plus the penalty on
 * other zones, is reduced for outliers and in slow start, and changes in bounded steps.
 */
final class WeightCalculator {
  /** Attempts at the server's mean over all zones that are added to those of one zone. */
  private static final double POOLED_ATTEMPTS = 150.0;

  /** Response time that a failure counts as, in multiples of the largest mean of a server. */
  private static final double FAILURE_TIME_FACTOR = 2.0;

  /**
   * Maximum factor of a share's increase per period. Larger steps would oscillate because reports
   * lag.
   */
  private static final double MAX_INCREASE_FACTOR = 1.3;

  /**
   * Minimum factor of a share's decrease per period. Larger steps would oscillate because reports
   * lag.
   */
  private static final double MIN_DECREASE_FACTOR = 0.6;

  /** Share that a recovered server regains at once, in multiples of an even share. */
  private static final double RECOVERED_EVEN_SHARES = 0.4;

  /** Health factor above which the decrease of a share is bounded. */
  private static final double BOUNDED_ABOVE_HEALTH_FACTOR = 0.5;

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
    double referenceSpeed = 0;
    double referenceWeight = 0;
    for (Server server : servers) {
      server.zoneTimeUs = zoneTimeUs(zone, server, failureTimeUs);
      server.weightFactor = server.healthFactor * server.slowStartFactor * server.listedWeight;
      if (server.slowStartFactor >= 1) {
        referenceSpeed += server.healthFactor * server.listedWeight / server.zoneTimeUs;
        referenceWeight += server.listedWeight;
      }
    }
    if (referenceWeight > 0) {
      double referenceTimeUs = referenceWeight / referenceSpeed;
      servers.stream()
          .filter(server -> server.slowStartFactor < 1)
          .forEach(server -> server.zoneTimeUs = Math.max(referenceTimeUs, server.zoneTimeUs));
    }
  }

  private static double zoneTimeUs(int zone, Server server, double failureTimeUs) {
    AttemptStats stats = server.attempts.past(zone);
    double failed = server.failedAttempts();
    double succeeded = ResponseTimeEstimator.succeededAttemptsWithPrior(server);
    double pooledUs =
        (server.meanTimeUs * succeeded + failed * failureTimeUs) / (succeeded + failed);
    return (stats.totalTimeUs + stats.failed * failureTimeUs + POOLED_ATTEMPTS * pooledUs)
        / (stats.succeeded + stats.failed + POOLED_ATTEMPTS);
  }

  private void assignShares(int zone, ZoneTable table, List<Server> servers) {
    double penaltyUs = locality.crossZonePenaltyUs(zone);
    double totalWeight =
        total(servers, server -> LocalityPreference.unnormalisedWeight(server, zone, penaltyUs));
    boolean nothingSucceeded =
        total(servers, Server::succeededAttempts) < 1 && !table.plannedShares.isEmpty();
    boolean hasReportsOrRestoredTables = clock.periodsWithReports() > 0 || hold.hasRestoredTables();
    for (Server server : servers) {
      server.share = LocalityPreference.unnormalisedWeight(server, zone, penaltyUs) / totalWeight;
      Double lastShare = table.plannedShares.get(server.id);
      if (lastShare != null && server.slowStartFactor >= 1 && hasReportsOrRestoredTables) {
        server.share =
            nothingSucceeded ? lastShare : boundedShare(server, lastShare, servers.size());
      }
    }
  }

  private static double boundedShare(Server server, double lastShare, int serverCount) {
    double maxShare =
        Math.max(lastShare * MAX_INCREASE_FACTOR, RECOVERED_EVEN_SHARES / serverCount);
    double minShare =
        server.healthFactor > BOUNDED_ABOVE_HEALTH_FACTOR ? lastShare * MIN_DECREASE_FACTOR : 0;
    return Math.max(minShare, Math.min(maxShare, server.share));
  }

  private static void normalise(List<Server> servers) {
    double sum = total(servers, server -> server.share);
    servers.forEach(server -> server.share /= sum);
  }
}
