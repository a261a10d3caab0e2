package pearusher.scale;

import java.io.IOException;
import java.util.Map;
import java.util.OptionalLong;

/** Adds the figures that are collected at the end of a run to its report. */
final class RunFigures {
  private static final double US_PER_MS = 1000;
  private static final double KIB_PER_MIB = 1024;
  private static final double BYTES_PER_MIB = 1_048_576;

  private final RunDescription run;
  private final Report report;

  RunFigures(RunDescription run, Report report) {
    this.run = run;
    this.report = report;
  }

  void addAll(TestFleet fleet) throws IOException, InterruptedException {
    addProxies(fleet);
    if (run.getInt(RunOption.WATCHERS) > 0) {
      addWatchers(fleet.watchers().figures());
    }
    for (RealAssigner assigner : fleet.realAssigners()) {
      // The unexpected end of an assigner is reported with the limit.
      if (!assigner.process().hasEndedUnexpectedly()) {
        addAssigner(assigner);
      }
    }
  }

  private void addProxies(TestFleet fleet) throws InterruptedException {
    ProxyFigures proxies = fleet.proxies().figures();
    report.add("proxies_bound", proxies.bound(), "1");
    report.add("streams_ended", proxies.streamsEnded(), "1");
    report.addPercentiles("bind_time", proxies.bindUs(), US_PER_MS, "ms");
    report.addPercentiles("bind_bytes", proxies.bindBytes(), 1, "B");
    report.add("changes_made", (double) fleet.changeFeed().changeCount(), "1");
    report.addPercentiles("in_force_proxy", proxies.drainPerProxyUs(), US_PER_MS, "ms");
    report.addPercentiles("in_force_everywhere", proxies.drainEverywhereUs(), US_PER_MS, "ms");
    report.add("drains_unfinished", proxies.drainsUnfinished(), "1");
    report.add("reports_not_sent", (double) fleet.collectors().reportsNotSent(), "1");
  }

  private void addWatchers(SimulatedWatchers.Figures watchers) {
    report.add("watchers", watchers.listedCount(), "1");
    report.addPercentiles("watcher_list", watchers.listUs(), US_PER_MS, "ms");
    report.addPercentiles("watcher_change", watchers.changeUs(), US_PER_MS, "ms");
    report.add("watcher_bytes", (double) watchers.receivedBytes(), "B");
  }

  private void addAssigner(RealAssigner assigner) throws IOException, InterruptedException {
    AssignerProcess process = assigner.process();
    String prefix = "a" + assigner.number() + ".";
    report.add(prefix + "died", 0, "1");
    report.add(prefix + "ready", process.readyMs(), "ms");
    report.add(
        prefix + "ready_cpu", process.readyCpuTicks() * ProcessFigures.TICK_MS, "ms_in_10ms_ticks");
    addMemory(prefix, process);
    addDroppedReports(prefix, process);
    Map<TrafficCounter.Kind, TrafficCounter.Count> traffic = assigner.traffic().snapshot();
    report.add(
        prefix + "list_whole_bytes_total",
        (double) traffic.get(TrafficCounter.Kind.FULL_LIST).bytes(),
        "B");
    if (run.get(RunOption.HEAP) > 0) {
      addLiveHeap(prefix, process);
    }
  }

  private void addMemory(String prefix, AssignerProcess process) throws IOException {
    long residentKb = ProcessFigures.residentKb(process.pid());
    long peakResidentKb = ProcessFigures.peakResidentKb(process.pid());
    report.add(prefix + "rss_ready", process.readyResidentKb() / KIB_PER_MIB, "MiB");
    report.add(prefix + "rss_end", residentKb / KIB_PER_MIB, "MiB");
    report.add(prefix + "rss_peak", peakResidentKb / KIB_PER_MIB, "MiB");
  }

  private void addDroppedReports(String prefix, AssignerProcess process) throws IOException {
    OptionalLong dropped = process.reportsDropped();
    if (dropped.isPresent()) {
      report.add(prefix + "reports_dropped", (double) dropped.getAsLong(), "1");
    } else {
      report.remark(prefix + "reports_dropped", "not counted: reports are still being dropped");
    }
  }

  private void addLiveHeap(String prefix, AssignerProcess process)
      throws IOException, InterruptedException {
    OptionalLong liveBytes = ProcessFigures.liveHeapBytes(process.pid());
    if (liveBytes.isPresent()) {
      report.add(prefix + "live_heap", liveBytes.getAsLong() / BYTES_PER_MIB, "MiB");
    } else {
      report.remark(prefix + "live_heap", "not measured: the process did not answer jcmd");
    }
  }

  /** Reports the assigners that ended unexpectedly, with the last line of their logs. */
  void addUnexpectedEnds(TestFleet fleet) throws IOException {
    for (RealAssigner assigner : fleet.realAssigners()) {
      if (assigner.process() != null && assigner.process().hasEndedUnexpectedly()) {
        report.add("a" + assigner.number() + ".died", 1, "1");
        report.remark("a" + assigner.number() + ".cause", assigner.process().lastLogLine());
      }
    }
  }
}
