package pearusher.policy;

import static pearusher.policy.Statistics.total;

import java.util.Optional;

/**
 * Estimates each server's response time and share of failures from decayed load reports. The
 * evidence is kept at the servers; this class holds the sum of the last report cycle.
 */
final class ResponseTimeEstimator {
  /** Attempts at the fleet's average time that are added to each server's own. */
  private static final double PRIOR_ATTEMPTS = 60.0;

  /** Successful attempts that are added when the share of failures is taken. */
  private static final double FAILURE_PRIOR_ATTEMPTS = 8.0;

  /** Assumed unloaded response time until the first report, as a share of the objective. */
  private static final double INITIAL_TIME_OBJECTIVES = 0.3;

  /** Attempts of a report cycle that suffice without those of earlier cycles. */
  private static final double CYCLE_ATTEMPTS = 150.0;

  /** Most failed attempts that are held against a server, so that it recovers soon. */
  private static final double MAX_FAILED_ATTEMPTS = 25.0;

  /** Servers out of scope with fewer attempts than this lose their statistics. */
  private static final double MIN_KEPT_ATTEMPTS = 1;

  private final PolicySettings settings;
  private final FleetState fleet;
  private final ControlClock clock;
  private final ReportCycle cycle;

  /** Attempts of the last report cycle at serving servers that are no outliers. */
  private final AttemptStats recent = new AttemptStats();

  ResponseTimeEstimator(
      PolicySettings settings, FleetState fleet, ControlClock clock, ReportCycle cycle) {
    this.settings = settings;
    this.fleet = fleet;
    this.clock = clock;
    this.cycle = cycle;
  }

  /**
   * Counts a load report; older evidence counts less.
   *
   * @return whether it was valid
   */
  boolean onLoadReport(AttemptReport report) {
    Optional<Server> server = fleet.servers().find(report.server());
    if (server.isEmpty() || report.zone() >= settings.zoneCount() || report.attempts() <= 0) {
      return false;
    }
    int countedZone =
        fleet.tables().contains(report.zone()) ? report.zone() : ZoneAttemptStats.ELSEWHERE;
    long failed = Math.min(report.failedAttempts(), report.attempts());
    server
        .get()
        .attempts
        .current(countedZone)
        .add(report.attempts() - failed, failed, report.meanUs(), evidenceWeight(report));
    clock.onLoadReport();
    return true;
  }

  private double evidenceWeight(AttemptReport report) {
    double middleAgeUs =
        Math.max(0, report.spanUs() - settings.controlPeriodUs()) / 2.0 + report.ageUs();
    return EvidenceDecay.factor(middleAgeUs, settings.controlPeriodUs());
  }

  /** Adds the reports of the period that ends to the evidence, which decays. */
  void endPeriod(long elapsedUs) {
    double decay = EvidenceDecay.factor((double) elapsedUs, settings.controlPeriodUs());
    decayRecent();
    for (Server server : fleet.servers().all()) {
      if (!server.attempts.isEmpty()) {
        endPeriod(server, clock.periodHasReports() ? decay : 1);
      }
    }
  }

  /** Where reports come in rotation, one period's alone would be those of a few servers. */
  private void decayRecent() {
    double periodAttempts =
        total(
            fleet.scope().servers(), server -> server.attempts.sumCurrent(AttemptStats::attempts));
    double keptByCycle = 1 - settings.controlPeriodUs() / cycle.durationUs();
    recent.scale(Math.min(keptByCycle, CYCLE_ATTEMPTS / Math.max(1, periodAttempts)));
  }

  private void endPeriod(Server server, double decay) {
    if (server.isServing() && !server.outlier) {
      server.attempts.addCurrentTo(recent);
    }
    server.attempts.endPeriod(decay);
    double failed = Math.max(1, server.failedAttempts());
    server.attempts.scalePast(Math.min(1, MAX_FAILED_ATTEMPTS / failed));
    server.attempts.removeDecayed(!server.inScope, MIN_KEPT_ATTEMPTS);
  }

  AttemptStats recent() {
    return recent;
  }

  /** Estimates the mean time and the share of failures of each server in scope. */
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

  /** The server's successful attempts, and those added at the fleet's average time. */
  static double weightedAttempts(Server server) {
    return server.succeededAttempts() + PRIOR_ATTEMPTS;
  }
}
