package pearusher.policy;

import java.util.function.ToDoubleFunction;

/**
 * State of one server. It decides nothing: each field is written by the one module named at it.
 * Grows with the zones whose proxies tried the server.
 */
final class Server {
  final long id;

  /** Its place in this process's random order of servers, where not all can be listed. */
  final long scopeRank;

  // Written by ServerRegistry, from the endpoint list.

  int zone;
  double listedWeight = 1;

  /** Start of its present incarnation; 0: long ago. */
  long startedUs;

  /** When its present incarnation was first listed. */
  long firstListedUs;

  // Written by EjectionQueue.

  Lifecycle lifecycle = Lifecycle.READY;
  boolean ejected;

  /** When {@link #ejected} last changed. */
  long ejectionChangedUs;

  StaleEjectionRisk staleEjectionRisk = StaleEjectionRisk.NONE;

  // Written by ZoneScope.

  /** Whether tables may list it. */
  boolean inScope;

  // Written by SubsetAssignment.

  /** Its subset of the fleet, from 1; 0: none yet. */
  int subset;

  // Written by ResponseTimeEstimator; ZoneScope releases zones, ServerRegistry resets estimates.

  final ZoneAttemptStats attempts = new ZoneAttemptStats();
  double meanTimeUs;
  double failureShare;

  // Written by TableRestorer.

  /** Its time relative to its zone's mean, from restored weights: a prior until reports arrive. */
  double restoredTimeRatio = 1;

  // Written by OutlierDetector.

  /** Factor of the weight: 1 for a healthy server, near 0 for an outlier. */
  double healthFactor = 1;

  boolean outlier;

  // Written by SlowStart.

  /** Share of its capacity that is ready. */
  double readiness;

  /** Factor of the weight during slow start; 1: warm. */
  double slowStartFactor;

  // Written by WeightCalculator, for the zone at hand.

  /** Its time as seen from the zone, failures included. */
  double zoneTimeUs;

  /** Product of the factors of its weight. */
  double weightFactor;

  /** Its share of the zone's requests; SlowStartBudget caps it. */
  double share;

  Server(long id, long scopeRank) {
    this.id = id;
    this.scopeRank = scopeRank;
  }

  boolean isServing() {
    return lifecycle == Lifecycle.READY;
  }

  /** Forgets what was measured of an earlier incarnation. */
  void resetEstimates() {
    attempts.clear();
    healthFactor = 1;
    restoredTimeRatio = 1;
  }

  /**
   * Caps its share of the zone's requests.
   *
   * @return how much of the share is cut
   */
  double capShare(double maxShare) {
    double cut = Math.max(0, share - maxShare);
    share = Math.min(share, maxShare);
    return cut;
  }

  void scaleShare(double factor) {
    share *= factor;
  }

  /** Leaves it out of the zone's table. */
  void clearShare() {
    share = 0;
  }

  /** Counts the attempts of a zone that left the scope among those of other zones. */
  void releaseZone(int zone) {
    attempts.mergeIntoElsewhere(zone);
  }

  /** Sums a figure of the earlier periods over all zones. */
  double sum(ToDoubleFunction<AttemptStats> figure) {
    return attempts.sumPast(figure);
  }

  double succeededAttempts() {
    return sum(stats -> stats.succeeded);
  }

  double failedAttempts() {
    return sum(stats -> stats.failed);
  }
}
