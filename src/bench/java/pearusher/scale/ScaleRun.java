package pearusher.scale;

import java.io.IOException;

/**
 * Executes one run: starts the fleet, waits until all proxies are bound, measures a window and
 * collects the figures. If the size is not reached, reports the limit and no figures for the size.
 */
final class ScaleRun {
  private static final long POLL_MS = 20;
  private static final double DRAIN_TIMEOUT_SECONDS = 16;
  private static final double LIST_TIMEOUT_SECONDS = 60;

  private final RunDescription run;
  private final RunCommand runCommand;
  private final Report report = new Report();
  private final RunLimits limits;
  private final RunFigures figures;

  /** A condition that is polled. */
  private interface Condition {
    boolean isMet() throws InterruptedException, LimitReachedException, IOException;
  }

  ScaleRun(RunDescription run, RunCommand runCommand) {
    this.run = run;
    this.runCommand = runCommand;
    limits = new RunLimits(run);
    figures = new RunFigures(run, report);
  }

  RunOutcome execute() throws IOException, InterruptedException {
    String limit = null;
    try (TestFleet fleet = new TestFleet(run, runCommand)) {
      try {
        limits.checkSize();
        measure(fleet);
      } catch (LimitReachedException e) {
        limit = e.getMessage();
        report.remark("limit", limit);
        figures.addUnexpectedEnds(fleet);
      }
    }
    return new RunOutcome(report, limit);
  }

  private void measure(TestFleet fleet)
      throws IOException, InterruptedException, LimitReachedException {
    fleet.startAssigners();
    fleet.createSimulatedProcesses();
    startWatchers(fleet);
    bindProxies(fleet);
    fleet.collectors().setReporting(true);
    pause(fleet, run.get(RunOption.SETTLE));
    alignToHeartbeat(fleet);
    MeasurementWindow window = new MeasurementWindow(fleet);
    fleet.changeFeed().start(run.get(RunOption.CHANGES));
    new FailureInjector(fleet, report)
        .runWindow(run.get(RunOption.SECONDS), () -> RunLimits.checkAlive(fleet));
    window.end(report);
    fleet.changeFeed().stop();
    awaitDrains(fleet);
    fleet.collectors().setReporting(false);
    figures.addAll(fleet);
    limits.checkReached(fleet, report);
  }

  private void startWatchers(TestFleet fleet)
      throws InterruptedException, LimitReachedException, IOException {
    int expected = run.getInt(RunOption.WATCHERS);
    SimulatedWatchers watchers = fleet.watchers();
    watchers.start();
    boolean allListed =
        awaitCondition(LIST_TIMEOUT_SECONDS, () -> watchers.figures().listedCount() == expected);
    if (!allListed) {
      SimulatedWatchers.Figures reached = watchers.figures();
      String failure = reached.connectFailure();
      throw new LimitReachedException(
          "watchers: "
              + (failure == null ? "not all received the endpoint list within 60 s" : failure),
          reached.listedCount() + " of " + expected + " watchers");
    }
  }

  private void bindProxies(TestFleet fleet)
      throws InterruptedException, LimitReachedException, IOException {
    fleet.collectors().connect();
    fleet.proxies().join();
    double timeoutSeconds = run.get(RunOption.BIND_WAIT);
    boolean allBound =
        awaitCondition(
            timeoutSeconds,
            () -> {
              RunLimits.checkAlive(fleet);
              return fleet.proxies().figures().bound() >= run.proxies();
            });
    if (!allBound) {
      ProxyFigures reached = fleet.proxies().figures();
      report.add("proxies_bound", reached.bound(), "1");
      String failure = reached.connectFailure();
      throw new LimitReachedException(
          "binds: not all proxies bound within "
              + Report.format(timeoutSeconds)
              + " s"
              + (failure == null ? "" : ", " + failure)
              + RunLimits.warnings(fleet),
          reached.bound() + " of " + run.proxies() + " proxies");
    }
  }

  /**
   * Waits until midway between two heartbeats, so that all windows contain equally many heartbeats.
   */
  private static void alignToHeartbeat(TestFleet fleet)
      throws InterruptedException, LimitReachedException, IOException {
    long intervalNs = SimulatedDiscovery.HEARTBEAT_INTERVAL_NS;
    long elapsedNs = System.nanoTime() - fleet.discovery().lastHeartbeatNs();
    pause(fleet, Math.floorMod(intervalNs / 2 - elapsedNs, intervalNs) / 1e9);
  }

  private static void pause(TestFleet fleet, double seconds)
      throws InterruptedException, LimitReachedException, IOException {
    long endNs = System.nanoTime() + (long) (seconds * 1e9);
    while (System.nanoTime() < endNs) {
      Thread.sleep(POLL_MS);
      RunLimits.checkAlive(fleet);
    }
  }

  private static void awaitDrains(TestFleet fleet)
      throws InterruptedException, LimitReachedException, IOException {
    awaitCondition(DRAIN_TIMEOUT_SECONDS, () -> fleet.proxies().figures().drainsUnfinished() == 0);
  }

  private static boolean awaitCondition(double timeoutSeconds, Condition condition)
      throws InterruptedException, LimitReachedException, IOException {
    long endNs = System.nanoTime() + (long) (timeoutSeconds * 1e9);
    while (!condition.isMet()) {
      if (System.nanoTime() > endNs) {
        return false;
      }
      Thread.sleep(POLL_MS);
    }
    return true;
  }
}
