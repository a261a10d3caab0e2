package pearusher.scale;

import com.sun.management.UnixOperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;

/** Checks that a run can reach its size, is still running, and has reached its size. */
final class RunLimits {
  private static final int MAX_PROCESSES = 298;
  private static final int SPARE_DESCRIPTORS = 200;
  private static final double MIN_REPORT_SHARE = 0.95;

  /** The number of reports that may fall outside a window at its edges. */
  private static final double MAX_EDGE_REPORTS = 4;

  private final RunDescription run;

  RunLimits(RunDescription run) {
    this.run = run;
  }

  /** Checks before the start that the run needs no more processes and descriptors than allowed. */
  void checkSize() throws LimitReachedException {
    if (run.realAssigners() > MAX_PROCESSES) {
      throw new LimitReachedException(
          "processes: " + run.realAssigners() + " needed, " + MAX_PROCESSES + " allowed",
          "none started");
    }
    long needed = neededDescriptors();
    long allowed = allowedDescriptors();
    if (needed > allowed) {
      throw new LimitReachedException(
          "file descriptors: " + needed + " needed, " + allowed + " allowed for the runner",
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

  /** Checks that no assigner and no event loop has ended unexpectedly. */
  static void checkAlive(TestFleet fleet) throws LimitReachedException, IOException {
    for (RealAssigner assigner : fleet.realAssigners()) {
      if (assigner.process().hasEndedUnexpectedly()) {
        throw new LimitReachedException(
            "process: assigner "
                + assigner.number()
                + " ended unexpectedly: "
                + assigner.process().lastLogLine(),
            "run aborted");
      }
    }
    if (fleet.loopFailure().isPresent()) {
      throw new LimitReachedException("runner: " + fleet.loopFailure().get(), "run aborted");
    }
  }

  /** Checks after the window that all proxies are bound and that all reports were accepted. */
  void checkReached(TestFleet fleet, Report report) throws IOException, LimitReachedException {
    checkAlive(fleet);
    int bound = (int) report.value("proxies_bound");
    if (bound < run.proxies()) {
      throw new LimitReachedException(
          "binds: not all proxies bound at the end of the window",
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
    double minReports =
        MIN_REPORT_SHARE * run.reportsPerSecond() * windowSeconds - MAX_EDGE_REPORTS;
    if (!hasFailures && perSecond * windowSeconds < minReports) {
      throw new LimitReachedException(
          "reports: assigner " + assigner.number() + " did not accept all reports",
          Report.format(perSecond)
              + " of "
              + Report.format(run.reportsPerSecond())
              + " reports per second");
    }
    if (assigner.process().hasDroppedReports()) {
      throw new LimitReachedException(
          "reports: assigner " + assigner.number() + " dropped reports",
          "fewer than " + Report.format(perSecond) + " reports per second");
    }
  }

  /** Returns the last warning in the log of each assigner, as a suffix for a message. */
  static String warnings(TestFleet fleet) throws IOException {
    StringBuilder warnings = new StringBuilder();
    for (RealAssigner assigner : fleet.realAssigners()) {
      String warning = assigner.process().lastWarning();
      if (!warning.isEmpty()) {
        warnings
            .append("; last warning of assigner ")
            .append(assigner.number())
            .append(": ")
            .append(warning);
      }
    }
    return warnings.toString();
  }
}
