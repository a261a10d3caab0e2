package pearusher.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Runs the measured window and injects the failures that the run description schedules. */
final class FailureInjector {
  private static final long POLL_MS = 20;

  /** A check that is repeated during the window. */
  interface Check {
    void run() throws LimitReachedException, IOException;
  }

  /** The start or the end of a failure. */
  private interface Step {
    void run() throws IOException, InterruptedException, LimitReachedException;
  }

  private record ScheduledStep(double atSeconds, Step step) {}

  private final TestFleet fleet;
  private final Report report;
  private final List<ScheduledStep> pendingSteps = new ArrayList<>();
  private List<Integer> removedServers = List.of();

  /** The number of watches before the partition. */
  private int watchCountBefore;

  FailureInjector(TestFleet fleet, Report report) {
    this.fleet = fleet;
    this.report = report;
    RunDescription run = fleet.run();
    int zone = run.proxyZones() - 1;
    schedule(RunOption.KILL_AT, 0, this::killAssigner);
    schedule(RunOption.ZONE_LOST_AT, 0, () -> removeZone(zone));
    schedule(RunOption.ZONE_LOST_AT, run.get(RunOption.ZONE_LOST_FOR), () -> restoreZone(zone));
    schedule(RunOption.CUT_AT, 0, () -> setPartitioned(true));
    schedule(RunOption.CUT_AT, run.get(RunOption.CUT_FOR), () -> setPartitioned(false));
    pendingSteps.sort((a, b) -> Double.compare(a.atSeconds(), b.atSeconds()));
  }

  private void schedule(RunOption timeOption, double delaySeconds, Step step) {
    double startSeconds = fleet.run().get(timeOption);
    if (startSeconds >= 0) {
      pendingSteps.add(new ScheduledStep(startSeconds + delaySeconds, step));
    }
  }

  /** Runs until the window has elapsed and all failures have ended. */
  void runWindow(double seconds, Check check)
      throws IOException, InterruptedException, LimitReachedException {
    long startNs = System.nanoTime();
    double elapsedSeconds = 0;
    while (elapsedSeconds < seconds || !pendingSteps.isEmpty()) {
      while (!pendingSteps.isEmpty() && pendingSteps.get(0).atSeconds() <= elapsedSeconds) {
        pendingSteps.remove(0).step().run();
      }
      check.run();
      Thread.sleep(POLL_MS);
      elapsedSeconds = (System.nanoTime() - startNs) / 1e9;
    }
  }

  /**
   * Kills the last assigner and restarts it. An only assigner is restarted at once. Otherwise the
   * restart follows after the other assigners have bound its proxies, so that the measured failover
   * time does not include the restart.
   */
  private void killAssigner() throws IOException, InterruptedException, LimitReachedException {
    if (fleet.realAssigners().isEmpty()) {
      throw new LimitReachedException("kill-at: no real assigner to kill", "run aborted");
    }
    long startNs = System.nanoTime();
    RealAssigner assigner = fleet.realAssigners().get(fleet.realAssigners().size() - 1);
    long bindsBefore = fleet.proxies().figures().bindUs().getTotalCount();
    int failedOverProxies = fleet.proxies().boundCountAt(assigner.number());
    assigner.process().kill();
    boolean isOnlyAssigner = fleet.run().assigners() == 1;
    if (!isOnlyAssigner) {
      awaitBound("kill_to_all_bound", startNs, bindsBefore + failedOverProxies);
    }
    if (!fleet.start(assigner)) {
      throw new LimitReachedException(
          "process: assigner " + assigner.number() + " did not answer a ping after its restart",
          "run aborted");
    }
    report.add("restart_to_pong", assigner.process().readyMs(), "ms");
    if (isOnlyAssigner) {
      awaitBound("kill_to_all_bound", startNs, bindsBefore + failedOverProxies);
    }
  }

  private void removeZone(int zone) throws InterruptedException {
    fleet.proxies().removeZone(zone);
    fleet
        .discovery()
        .loop()
        .executeAndWait(() -> removedServers = fleet.changeFeed().removeZone(zone));
    report.add("zone_lost_servers", removedServers.size(), "1");
  }

  private void restoreZone(int zone) throws InterruptedException, LimitReachedException {
    long startNs = System.nanoTime();
    fleet.discovery().loop().executeAndWait(() -> fleet.changeFeed().restoreZone(removedServers));
    fleet.proxies().restoreZone(zone);
    awaitBound("zone_back_to_all_bound", startNs, 0);
  }

  /** Starts or ends a network partition. Connections across it are replaced at its end. */
  private void setPartitioned(boolean partitioned)
      throws InterruptedException, LimitReachedException {
    long startNs = System.nanoTime();
    watchCountBefore = partitioned ? fleet.discovery().watchCount() : watchCountBefore;
    fleet.discovery().loop().executeAndWait(() -> fleet.discovery().setPartitioned(partitioned));
    boolean includesProxies = fleet.run().get(RunOption.CUT_PROXIES) > 0;
    if (includesProxies) {
      fleet.collectors().setPartitioned(partitioned);
      fleet.proxies().setPartitioned(partitioned);
    }
    if (!partitioned && includesProxies) {
      awaitBound("cut_back_to_all_bound", startNs, 0);
    }
    if (!partitioned) {
      awaitWatches(startNs);
    }
  }

  private void awaitWatches(long startNs) throws InterruptedException, LimitReachedException {
    int watchCount = fleet.discovery().watchCount();
    while (watchCount < watchCountBefore) {
      if (System.nanoTime() - startNs > fleet.run().get(RunOption.READY_WAIT) * 1e9) {
        throw new LimitReachedException(
            "watchers: not all reconnected after the partition",
            watchCount + " of " + watchCountBefore + " watchers");
      }
      Thread.sleep(POLL_MS);
      watchCount = fleet.discovery().watchCount();
    }
    report.add("cut_back_to_all_watching", (System.nanoTime() - startNs) / 1e6, "ms");
  }

  /**
   * Waits until all proxies are bound and the run has counted at least {@code minBinds} binds. Adds
   * the elapsed time as a figure.
   */
  private void awaitBound(String name, long startNs, long minBinds)
      throws InterruptedException, LimitReachedException {
    double timeoutSeconds = fleet.run().get(RunOption.BIND_WAIT);
    int expectedProxies = fleet.run().proxies();
    ProxyFigures figures = fleet.proxies().figures();
    while (figures.bound() < expectedProxies || figures.bindUs().getTotalCount() < minBinds) {
      if (System.nanoTime() - startNs > timeoutSeconds * 1e9) {
        throw new LimitReachedException(
            "binds: not all proxies bound again within " + Report.format(timeoutSeconds) + " s",
            figures.bound() + " of " + expectedProxies + " proxies");
      }
      Thread.sleep(POLL_MS);
      figures = fleet.proxies().figures();
    }
    report.add(name, (System.nanoTime() - startNs) / 1e6, "ms");
  }
}
