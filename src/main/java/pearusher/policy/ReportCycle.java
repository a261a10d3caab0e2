package pearusher.policy;

/**
 * Time in which every report arrives once. If more report lines are due than are accepted, they
 * arrive in rotation and each covers a longer time span.
 */
final class ReportCycle {
  private static final double MICROS_PER_SECOND = 1e6;

  private final PolicySettings settings;
  private final FleetState fleet;

  ReportCycle(PolicySettings settings, FleetState fleet) {
    this.settings = settings;
    this.fleet = fleet;
  }

  /** Returns the length of the report cycle in microseconds, at least a control period. */
  double durationUs() {
    long zones = fleet.tables().zonesInScope().size();
    long classes = settings.requestClasses().size();
    double linesDue = zones * fleet.scope().servers().size() + classes * fleet.proxies().size();
    return Math.max(
        (double) settings.controlPeriodUs(),
        linesDue / settings.maxReportsPerSecond() * MICROS_PER_SECOND);
  }
}
