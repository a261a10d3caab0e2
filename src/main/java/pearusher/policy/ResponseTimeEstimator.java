package pearusher.policy;

import static pearusher.policy.Statistics.total;

import java.util.Optional;

/**
 * Estimates each server's response time and share of failed attempts from load reports, whose
 * weight decays with age. The counts are stored per server; this class stores the sum over the last
 * report cycle.
 */
final class ResponseTimeEstimator {
  /** Attempts at the mean response time of the fleet that are added to each server's own. */
  private static final double PRIOR_ATTEMPTS = 60.0;

  /** Successful attempts that are added to each server's own in its share of failures. */
  private static final double FAILURE_PRIOR_ATTEMPTS = 8.0;

  /** Assumed response time without load until the first report, in shortest latency objectives. */
  private static final double INITIAL_TIME_OBJECTIVES = 0.3;

  /** Number of attempts of a report cycle that are sufficient without those of earlier cycles. */
  private static final double SUFFICIENT_CYCLE_ATTEMPTS = 150.0;

  /** Maximum number of failed attempts counted against a server, so that it recovers soon. */
  private static final double MAX_FAILED_ATTEMPTS = 25.0;

  /** Number of attempts below which servers out of scope lose their statistics. */
  private static final double MIN_RETAINED_ATTEMPTS = 1;

  private final PolicySettings settings;
  private final FleetState fleet;
  private final ControlClock clock;
  private final ReportCycle cycle;

  /** Attempts of the last report cycle at ready servers that are not outliers. */
  private final AttemptStats lastCycleStats = new AttemptStats();

  ResponseTimeEstimator(
      PolicySettings settings, FleetState fleet, ControlClock clock, ReportCycle cycle) {
    this.settings = settings;
    this.fleet = fleet;
    this.clock = clock;
    this.cycle = cycle;
  }

  /**
   * Adds the attempts of a load report, with a lower weight for older attempts.
   *
   * @return whether the report was valid
   */
  boolean onLoadReport(AttemptReport report) {
    Optional<Server> server = fleet.servers().find(report.server());
    if (server.isEmpty() || report.zone() >= settings.zoneCount() || report.attempts() <= 0) {
      return false;
    }
    int countedZone =
        fleet.tables().contains(report.zone()) ? report.zone() : ZoneAttemptStats.OTHER_ZONES;
    long failed = Math.min(report.failedAttempts(), report.attempts());
    server
        .get()
        .attempts
        .current(countedZone)
        .add(report.attempts() - failed, failed, report.meanUs(), ageFactor(report));
    clock.onLoadReport();
    return true;
  }

  private double ageFactor(AttemptReport report) {
    double middleAgeUs =
        Math.max(0, report.spanUs() - settings.controlPeriodUs()) / 2.0 + report.ageUs();
    return ReportDecay.factor(middleAgeUs, settings.controlPeriodUs());
  }

  /**
   * Ends a period: decays the attempts of earlier periods and adds those reported during this one.
   *
   * @param elapsedUs length of the period, in microseconds
   */
  void endPeriod(long elapsedUs) {
    double decay = ReportDecay.factor((double) elapsedUs, settings.controlPeriodUs());
    decayRecent();
    for (Server server : fleet.servers().all()) {
      if (!server.attempts.isEmpty()) {
        endPeriod(server, clock.periodHasReports() ? decay : 1);
      }
    }
  }

  /**
   * Reduces the counts of the last report cycle. If reports arrive in rotation, those of a single
   * period cover only a few servers, so part of the earlier counts is retained.
   */
  private void decayRecent() {
    double periodAttempts =
        total(
            fleet.scope().servers(), server -> server.attempts.sumCurrent(AttemptStats::attempts));
    double retainedShare = 1 - settings.controlPeriodUs() / cycle.durationUs();
    lastCycleStats.scale(
        Math.min(retainedShare, SUFFICIENT_CYCLE_ATTEMPTS / Math.max(1, periodAttempts)));
  }

  private void endPeriod(Server server, double decay) {
    if (server.isServing() && !server.outlier) {
      server.attempts.addCurrentTo(lastCycleStats);
    }
    server.attempts.endPeriod(decay);
    double failed = Math.max(1, server.failedAttempts());
    server.attempts.scalePast(Math.min(1, MAX_FAILED_ATTEMPTS / failed));
    server.attempts.removeDecayed(!server.inScope, MIN_RETAINED_ATTEMPTS);
  }

  AttemptStats lastCycleStats() {
    return lastCycleStats;
  }

  /** Estimates the mean response time and the share of failures of each server in scope. */
  void estimate() {
    double totalTimeUs =
        total(fleet.scope().servers(), server -> server.sum(stats -> stats.totalTimeUs))
            + INITIAL_TIME_OBJECTIVES * settings.shortestLatencyObjectiveUs();
    double averageUs =
        totalTimeUs / (total(fleet.scope().servers(), Server::succeededAttempts) + 1);
    for (Server server : fleet.scope().servers()) {
      double succeeded = server.succeededAttempts();
      double failed = server.failedAttempts();
      double priorTimeUs = PRIOR_ATTEMPTS * averageUs * server.restoredTimeRatio;
      server.meanTimeUs =
          (server.sum(stats -> stats.totalTimeUs) + priorTimeUs) / (succeeded + PRIOR_ATTEMPTS);
      server.failureShare = failed / (succeeded + failed + FAILURE_PRIOR_ATTEMPTS);
    }
  }

  /**
   * Returns the number of the server's successful attempts plus those added at the mean response
   * time of the fleet.
   */
  static double succeededAttemptsWithPrior(Server server) {
    return server.succeededAttempts() + PRIOR_ATTEMPTS;
  }
}
