package pearusher.scale;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * One run from the start of its processes to the last figure: start, join, settle, measure a
 * window, ask for what takes time to ask. What it could not reach it says, and gives no figure for.
 */
final class ScaleRun {
  private static final int MOST_PROCESSES = 298;
  private static final int SPARE_DESCRIPTORS = 200;
  private static final long POLL_MS = 20;
  private static final double DRAIN_WAIT_S = 16;
  private static final double LEAST_OF_REPORTS = 0.95;

  /** Lines that may fall on the other side of a window's edges. */
  private static final double EDGE_LINES = 4;

  private static final double LIST_WAIT_S = 60;

  private final RunDescription run;
  private final RunCommand line;
  private final Report report = new Report();

  ScaleRun(RunDescription run, RunCommand line) {
    this.run = run;
    this.line = line;
  }

  /** Figures of a run, and which limit it met, if any. */
  record Outcome(Report report, String limit) {
    boolean reached() {
      return limit == null;
    }
  }

  Outcome execute() throws IOException, InterruptedException {
    String limit = null;
    try (TestFleet fleet = new TestFleet(run, line)) {
      try {
        checkSize();
        measure(fleet);
      } catch (LimitReached e) {
        limit = e.getMessage();
        report.remark("limit", limit);
        tellDeaths(fleet);
      }
    }
    return new Outcome(report, limit);
  }

  private void checkSize() throws LimitReached {
    if (run.realAssigners() > MOST_PROCESSES) {
      throw new LimitReached("processes: " + MOST_PROCESSES, "none started");
    }
    long streams = run.simulatedAssigners() > 0 ? 2L * run.proxies() : run.proxies();
    long needed =
        2L * run.whole(RunKey.WATCHERS)
            + streams
            + SPARE_DESCRIPTORS
            + (long) run.assigners() * (2 + 2 * run.proxyZones());
    long most = descriptors();
    if (needed > most) {
      throw new LimitReached(
          "descriptors: " + needed + " needed, " + most + " allowed to the runner", "none started");
    }
  }

  private static long descriptors() {
    return ManagementFactory.getOperatingSystemMXBean()
            instanceof com.sun.management.UnixOperatingSystemMXBean system
        ? system.getMaxFileDescriptorCount()
        : Long.MAX_VALUE;
  }

  private void measure(TestFleet fleet) throws IOException, InterruptedException, LimitReached {
    fleet.startAssigners();
    fleet.makeSimulated();
    watch(fleet);
    bind(fleet);
    fleet.collectors().report(true);
    pause(fleet, run.get(RunKey.SETTLE));
    betweenBeats(fleet);
    MeasurementWindow window = new MeasurementWindow(fleet);
    fleet.feed().start(run.get(RunKey.CHANGES));
    new FailureInjector(fleet, report).during(run.get(RunKey.SECONDS), () -> checkAlive(fleet));
    window.end(report);
    fleet.feed().stop();
    awaitDrains(fleet);
    fleet.collectors().report(false);
    figures(fleet);
    checkReached(fleet);
  }

  /**
   * The window has passed: were the proxies and lines a second that were asked for there to its
   * end?
   */
  private void checkReached(TestFleet fleet) throws IOException, LimitReached {
    checkAlive(fleet);
    int bound = (int) report.value("proxies_bound");
    if (bound < run.proxies()) {
      throw new LimitReached(
          "binds: proxies were lost in the run",
          bound + " of " + run.proxies() + " proxies" + complaints(fleet));
    }
    boolean undisturbed = run.get(RunKey.KILL_AT) < 0 && run.get(RunKey.CUT_AT) < 0;
    for (TestFleet.Member member : fleet.members()) {
      double heard = report.value("a" + member.number() + ".in.heard_messages");
      double leastLines =
          LEAST_OF_REPORTS * run.reportsPerS() * report.value("window") - EDGE_LINES;
      if (undisturbed && heard * report.value("window") < leastLines) {
        throw new LimitReached(
            "reports: assigner " + member.number() + " takes no more",
            Report.text(heard) + " of " + Report.text(run.reportsPerS()) + " lines a second");
      }
      if (member.process().reportsDropped() != 0) {
        throw new LimitReached(
            "reports: assigner " + member.number() + " dropped some",
            "fewer than " + Report.text(heard) + " lines a second");
      }
    }
  }

  /** Windows of one length begin at one place between heartbeats, so that all have as many. */
  private void betweenBeats(TestFleet fleet)
      throws InterruptedException, LimitReached, IOException {
    long sinceNs = System.nanoTime() - fleet.discovery().lastBeatNs();
    long restNs =
        Math.floorMod(SimulatedDiscovery.BEAT_NS / 2 - sinceNs, SimulatedDiscovery.BEAT_NS);
    pause(fleet, restNs / 1e9);
  }

  private void watch(TestFleet fleet) throws InterruptedException, LimitReached, IOException {
    int wanted = run.whole(RunKey.WATCHERS);
    fleet.watchers().watch();
    boolean all = until(LIST_WAIT_S, () -> figuresOf(fleet).listed() == wanted);
    if (!all) {
      SimulatedWatchers.Figures so = figuresOf(fleet);
      throw new LimitReached(
          "watchers: " + (so.fault() == null ? "not all lists in 60 s" : so.fault()),
          so.listed() + " of " + wanted + " watchers");
    }
  }

  private static SimulatedWatchers.Figures figuresOf(TestFleet fleet) {
    try {
      return fleet.watchers().figures();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private void bind(TestFleet fleet) throws InterruptedException, LimitReached, IOException {
    fleet.collectors().connect();
    fleet.proxies().join();
    double endS = run.get(RunKey.BIND_WAIT);
    long endNs = System.nanoTime() + (long) (endS * 1e9);
    int bound = 0;
    while (bound < run.proxies() && System.nanoTime() < endNs) {
      Thread.sleep(POLL_MS);
      checkAlive(fleet);
      bound = fleet.proxies().figures().bound();
    }
    if (bound < run.proxies()) {
      report.add("proxies_bound", bound, "1");
      String fault = fleet.proxies().figures().fault();
      throw new LimitReached(
          "binds: not all proxies bound within "
              + Report.text(endS)
              + " s"
              + (fault == null ? "" : ", " + fault)
              + complaints(fleet),
          bound + " of " + run.proxies() + " proxies");
    }
  }

  private static String complaints(TestFleet fleet) throws IOException {
    StringBuilder out = new StringBuilder();
    for (TestFleet.Member member : fleet.members()) {
      String complaint = member.process().complaint();
      out.append(
          complaint.isEmpty() ? "" : "; assigner " + member.number() + " says: " + complaint);
    }
    return out.toString();
  }

  private void pause(TestFleet fleet, double seconds)
      throws InterruptedException, LimitReached, IOException {
    long endNs = System.nanoTime() + (long) (seconds * 1e9);
    while (System.nanoTime() < endNs) {
      Thread.sleep(POLL_MS);
      checkAlive(fleet);
    }
  }

  private static void checkAlive(TestFleet fleet) throws LimitReached, IOException {
    for (TestFleet.Member member : fleet.members()) {
      if (member.process().died()) {
        throw new LimitReached(
            "process: assigner " + member.number() + " died: " + member.process().lastLine(),
            "the run ended there");
      }
    }
    if (fleet.fault() != null) {
      throw new LimitReached("runner: " + fleet.fault(), "the run ended there");
    }
  }

  private void awaitDrains(TestFleet fleet) throws InterruptedException {
    until(
        DRAIN_WAIT_S,
        () -> {
          try {
            return fleet.proxies().figures().drainsUnfinished() == 0;
          } catch (InterruptedException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  private static boolean until(double seconds, BooleanSupplier condition)
      throws InterruptedException {
    long endNs = System.nanoTime() + (long) (seconds * 1e9);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > endNs) {
        return false;
      }
      Thread.sleep(POLL_MS);
    }
    return true;
  }

  private void figures(TestFleet fleet) throws IOException, InterruptedException {
    SimulatedProxies.Figures proxies = fleet.proxies().figures();
    report.add("proxies_bound", proxies.bound(), "1");
    report.add("streams_ended", proxies.streamsEnded(), "1");
    report.times("bind_time", proxies.bindUs(), 1000, "ms");
    report.times("bind_bytes", proxies.bindBytes(), 1, "B");
    report.add("changes_made", (double) fleet.feed().made(), "1");
    report.times("in_force_proxy", proxies.drainPerProxyUs(), 1000, "ms");
    report.times("in_force_everywhere", proxies.drainEverywhereUs(), 1000, "ms");
    report.add("drains_unfinished", proxies.drainsUnfinished(), "1");
    report.add("reports_not_sent", (double) fleet.collectors().notSent(), "1");
    if (run.whole(RunKey.WATCHERS) > 0) {
      SimulatedWatchers.Figures watchers = fleet.watchers().figures();
      report.add("watchers", watchers.listed(), "1");
      report.times("watcher_list", watchers.listUs(), 1000, "ms");
      report.times("watcher_change", watchers.changeUs(), 1000, "ms");
      report.add("watcher_bytes", (double) watchers.receivedBytes(), "B");
    }
    for (TestFleet.Member member : fleet.members()) {
      processFigures(member);
    }
  }

  private void processFigures(TestFleet.Member member) throws IOException, InterruptedException {
    AssignerProcess process = member.process();
    String name = "a" + member.number() + ".";
    if (process.died()) {
      // Told with the limit that it is.
      return;
    }
    report.add(name + "died", 0, "1");
    report.add(name + "ready", process.readyMs(), "ms");
    report.add(
        name + "ready_cpu", process.readyTicks() * ProcessFigures.TICK_MS, "ms_in_10ms_ticks");
    report.add(name + "rss_ready", process.readyRssKb() / 1024.0, "MiB");
    report.add(name + "rss_end", ProcessFigures.residentKb(process.pid()) / 1024.0, "MiB");
    report.add(name + "rss_peak", ProcessFigures.peakResidentKb(process.pid()) / 1024.0, "MiB");
    long dropped = process.reportsDropped();
    if (dropped >= 0) {
      report.add(name + "reports_dropped", (double) dropped, "1");
    } else {
      report.remark(name + "reports_dropped", "some, and dropping goes on: not counted");
    }
    Map<TrafficCounter.Kind, TrafficCounter.Count> all = member.traffic().snapshot();
    report.add(
        name + "list_whole_bytes_total",
        (double) all.get(TrafficCounter.Kind.LIST_WHOLE).bytes(),
        "B");
    if (run.get(RunKey.HEAP) > 0) {
      long live = ProcessFigures.liveHeapBytes(process.pid());
      if (live >= 0) {
        report.add(name + "live_heap", live / 1048576.0, "MiB");
      } else {
        report.remark(name + "live_heap", "the process could not be asked");
      }
    }
  }

  private void tellDeaths(TestFleet fleet) throws IOException {
    for (TestFleet.Member member : fleet.members()) {
      if (member.process() != null && member.process().died()) {
        tellDeath(member);
      }
    }
  }

  private void tellDeath(TestFleet.Member member) throws IOException {
    report.add("a" + member.number() + ".died", 1, "1");
    report.remark("a" + member.number() + ".cause", member.process().lastLine());
  }
}
