package pearusher.policy;

import java.util.function.ToDoubleFunction;

/**
 * State of one server, without decision logic. Each field is written only by the modules that the
 * comment above it names. The size grows with the number of zones whose proxies sent attempts to
 * the server.
 */
final class Server {
  final long id;

  /**
   * Position in a random order of the servers, different in each process, by which servers are
   * chosen if not all can be listed.
   */
  final long scopeRank;

  // Written by ServerRegistry, from the endpoint list.

  int zone;
  double listedWeight = 1;

  /** Start time of the current incarnation, in microseconds; 0: long ago. */
  long startedUs;

  /** Time when the current incarnation was first listed, in microseconds. */
  long firstListedUs;

  // Written by EjectionQueue.

  Lifecycle lifecycle = Lifecycle.READY;
  boolean ejected;

  /** Time of the last change of {@link #ejected}, in microseconds. */
  long ejectionChangedUs;

  StaleEjectionRisk staleEjectionRisk = StaleEjectionRisk.NONE;

  // Written by ZoneScope.

  /** Whether tables may list the server. */
  boolean inScope;

  // Written by SubsetAssignment.

  /** Subset of the fleet that contains the server, from 1; 0: not assigned yet. */
  int subset;

  // Written by ResponseTimeEstimator; ZoneScope releases zones, ServerRegistry resets estimates.

  final ZoneAttemptStats attempts = new ZoneAttemptStats();
  double meanTimeUs;
  double failureShare;

  // Written by TableRestorer.

  /**
   * Response time relative to the mean of the server's zone, derived from restored weights. Serves
   * as a prior until reports arrive.
   */
  double restoredTimeRatio = 1;

  // Written by OutlierDetector.

  /** Factor of the weight: 1 for a healthy server, near 0 for an outlier. */
  double healthFactor = 1;

  boolean outlier;

  // Written by SlowStart.

  /** Share of the server's capacity that is available during slow start, up to 1. */
  double availableCapacityShare;

  /** Factor of the weight during slow start; 1: slow start has ended. */
  double slowStartFactor;

  // Written by WeightCalculator, for the zone that it computes.

  /** Mean response time in the zone, with failures counted as response times, in microseconds. */
  double zoneTimeUs;

  /** Product of the health factor, the slow-start factor and the listed weight. */
  double weightFactor;

  /** Share of the zone's requests; SlowStartBudget caps it. */
  double share;

  Server(long id, long scopeRank) {
    this.id = id;
    this.scopeRank = scopeRank;
  }

  boolean isServing() {
    return lifecycle == Lifecycle.READY;
  }

  /** Discards the measurements of an earlier incarnation. */
  void resetEstimates() {
    attempts.clear();
    healthFactor = 1;
    restoredTimeRatio = 1;
  }

  /**
   * Caps the server's share of the zone's requests.
   *
   * @return the amount by which the share was reduced
   */
  double capShare(double maxShare) {
    double cut = Math.max(0, share - maxShare);
    share = Math.min(share, maxShare);
    return cut;
  }

  void scaleShare(double factor) {
    share *= factor;
  }

  /** Excludes the server from the zone's table. */
  void clearShare() {
    share = 0;
  }

  /** Merges the attempts of a zone that left the scope into those of other zones. */
  void mergeZoneStatsIntoOthers(int zone) {
    attempts.mergeIntoOtherZones(zone);
  }

  /** Returns the sum of a metric of the earlier periods over all zones. */
  double sum(ToDoubleFunction<AttemptStats> metric) {
    return attempts.sumPast(metric);
  }

  double succeededAttempts() {
    return sum(stats -> stats.succeeded);
  }

  double failedAttempts() {
    return sum(stats -> stats.failed);
  }
}
