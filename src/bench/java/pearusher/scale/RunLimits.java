package pearusher.scale;

import com.sun.management.UnixOperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;

/** Checks that a run can reach its size, still runs and did what it was asked to do. */
final class RunLimits {
  private static final int MAX_PROCESSES = 298;
  private static final int SPARE_DESCRIPTORS = 200;
  private static final double MIN_REPORT_SHARE = 0.95;

  /** Reports that may fall outside a window because of its edges. */
  private static final double EDGE_REPORTS = 4;

  private final RunDescription run;

  RunLimits(RunDescription run) {
    this.run = run;
  }

  /** Checks before the start that the run needs no more processes and descriptors than allowed. */
  void checkSize() throws LimitReachedException {
    if (run.realAssigners() > MAX_PROCESSES) {
      throw new LimitReachedException("processes: " + MAX_PROCESSES, "none started");
    }
    long needed = neededDescriptors();
    long allowed = allowedDescriptors();
    if (needed > allowed) {
      throw new LimitReachedException(
          "descriptors: " + needed + " needed, " + allowed + " allowed to the runner",
          "none started");
    }
  }

  private long neededDescriptors() {
    long streams = run.simulatedAssigners() > 0 ? 2L * run.proxies() : run.proxies();
    return 2L * run.getInt(RunOption.WATCHERS)
        + streams
        + SPARE_DESCRIPTORS
        + (long) run.assigners() * (2 + 2 * run.proxyZones());
  }

  private static long allowedDescriptors() {
    return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
        ? system.getMaxFileDescriptorCount()
        : Long.MAX_VALUE;
  }

  /** Checks that no assigner and no event loop has ended by itself. */
  static void checkAlive(TestFleet fleet) throws LimitReachedException, IOException {
    for (RealAssigner assigner : fleet.realAssigners()) {
      if (assigner.process().hasDied()) {
        throw new LimitReachedException(
            "process: assigner " + assigner.number() + " died: " + assigner.process().lastLogLine(),
            "the run ended there");
      }
    }
    if (fleet.loopFailure().isPresent()) {
      throw new LimitReachedException(
          "runner: " + fleet.loopFailure().get(), "the run ended there");
    }
  }

  /** Checks after the window that all proxies and reports were there until its end. */
  void checkReached(TestFleet fleet, Report report) throws IOException, LimitReachedException {
    checkAlive(fleet);
    int bound = (int) report.value("proxies_bound");
    if (bound < run.proxies()) {
      throw new LimitReachedException(
          "binds: proxies were lost in the run",
          bound + " of " + run.proxies() + " proxies" + warnings(fleet));
    }
    for (RealAssigner assigner : fleet.realAssigners()) {
      checkReports(assigner, report);
    }
  }

  private void checkReports(RealAssigner assigner, Report report)
      throws IOException, LimitReachedException {
    boolean hasFailures = run.get(RunOption.KILL_AT) >= 0 || run.get(RunOption.CUT_AT) >= 0;
    double perSecond = report.value("a" + assigner.number() + ".in.heard_messages");
    double windowSeconds = report.value("window");
    double minReports = MIN_REPORT_SHARE * run.reportsPerSecond() * windowSeconds - EDGE_REPORTS;
    if (!hasFailures && perSecond * windowSeconds < minReports) {
      throw new LimitReachedException(
          "reports: assigner " + assigner.number() + " takes no more",
          Report.format(perSecond)
              + " of "
              + Report.format(run.reportsPerSecond())
              + " lines a second");
    }
    if (assigner.process().hasDroppedReports()) {
      throw new LimitReachedException(
          "reports: assigner " + assigner.number() + " dropped some",
          "fewer than " + Report.format(perSecond) + " lines a second");
    }
  }

  /** The last warning in the log of each assigner, as the end of a message. */
  static String warnings(TestFleet fleet) throws IOException {
    StringBuilder warnings = new StringBuilder();
    for (RealAssigner assigner : fleet.realAssigners()) {
      String warning = assigner.process().lastWarning();
      if (!warning.isEmpty()) {
        warnings.append("; assigner ").append(assigner.number()).append(" says: ").append(warning);
      }
    }
    return warnings.toString();
  }
}
