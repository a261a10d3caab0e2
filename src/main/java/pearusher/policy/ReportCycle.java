package pearusher.policy;

/**
 * The time in which every report comes once. Where more lines are due than the intake takes, they
 * come in rotation and each covers more time.
 */
final class ReportCycle {
  private static final double MICROS_PER_SECOND = 1e6;

  private final PolicySettings settings;
  private final FleetState fleet;

  ReportCycle(PolicySettings settings, FleetState fleet) {
    this.settings = settings;
    this.fleet = fleet;
  }

  double durationUs() {
    long zones = fleet.tables().zonesInScope().size();
    long classes = settings.requestClasses().size();
    double linesDue = zones * fleet.scope().servers().size() + classes * fleet.proxies().size();
    return Math.max(
        (double) settings.controlPeriodUs(),
        linesDue / settings.maxReportsPerSecond() * MICROS_PER_SECOND);
  }
}
