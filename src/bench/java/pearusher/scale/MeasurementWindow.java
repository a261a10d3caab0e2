package pearusher.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The measured window of a run, which measures the CPU time and the traffic of each assigner from
 * its creation to its end.
 */
final class MeasurementWindow {
  private record Baseline(
      RealAssigner assigner,
      AssignerProcess process,
      long cpuTicks,
      Map<TrafficCounter.Kind, TrafficCounter.Count> traffic) {}

  /** With more unread bytes, the CPU time does not cover all reports that were sent. */
  private static final long MAX_UNREAD_BYTES = 64 << 10;

  /** All decisions run on one thread. Above this CPU use, reports may queue within the process. */
  private static final double MAX_CORE_PERCENT = 90;

  private final List<Baseline> baselines = new ArrayList<>();
  private final List<Map<TrafficCounter.Kind, TrafficCounter.Count>> simulatedBaselines =
      new ArrayList<>();
  private final TestFleet fleet;
  private final long startNs;

  MeasurementWindow(TestFleet fleet) throws IOException {
    this.fleet = fleet;
    for (RealAssigner assigner : fleet.realAssigners()) {
      baselines.add(
          new Baseline(
              assigner,
              assigner.process(),
              ProcessFigures.cpuTicks(assigner.process().pid()),
              assigner.traffic().snapshot()));
    }
    fleet
        .simulatedAssigners()
        .addresses()
        .forEach(address -> simulatedBaselines.add(address.traffic().snapshot()));
    startNs = System.nanoTime();
  }

  /** Ends the window and adds its figures. */
  void end(Report report) throws IOException {
    double seconds = (System.nanoTime() - startNs) / 1e9;
    report.add("window", seconds, "s");
    for (Baseline baseline : baselines) {
      reportAssigner(report, baseline, seconds);
    }
    List<AssignerAddress> addresses = fleet.simulatedAssigners().addresses();
    for (int k = 0; k < addresses.size(); k++) {
      Map<TrafficCounter.Kind, TrafficCounter.Count> traffic =
          TrafficCounter.difference(
              addresses.get(k).traffic().snapshot(), simulatedBaselines.get(k));
      reportTraffic(report, "h" + k + ".", traffic, seconds);
    }
  }

  private static void reportAssigner(Report report, Baseline baseline, double seconds)
      throws IOException {
    String prefix = "a" + baseline.assigner().number() + ".";
    Map<TrafficCounter.Kind, TrafficCounter.Count> traffic =
        TrafficCounter.difference(baseline.assigner().traffic().snapshot(), baseline.traffic());
    reportTraffic(report, prefix, traffic, seconds);
    // A process that was stopped or restarted has no CPU time for the complete window.
    if (baseline.process() == baseline.assigner().process() && baseline.process().isAlive()) {
      reportCpu(report, prefix, baseline, traffic, seconds);
    }
  }

  private static void reportCpu(
      Report report,
      String prefix,
      Baseline baseline,
      Map<TrafficCounter.Kind, TrafficCounter.Count> traffic,
      double seconds)
      throws IOException {
    AssignerProcess process = baseline.process();
    long ticks = ProcessFigures.cpuTicks(process.pid()) - baseline.cpuTicks();
    long unreadBytes = ProcessFigures.unreadBytes(process.address().getPort());
    report.add(prefix + "unread_end", (double) unreadBytes, "B");
    double corePercent = ticks * ProcessFigures.TICK_MS / seconds / 10;
    report.add(prefix + "core", corePercent, "percent_of_a_core");
    if (corePercent > MAX_CORE_PERCENT) {
      report.remark(
          prefix + "cpu_per_heard",
          "not measured: the core is saturated, so reports may be queued");
    } else if (unreadBytes > MAX_UNREAD_BYTES || process.hasDroppedReports()) {
      report.remark(
          prefix + "cpu_per_heard", "not measured: reports were not read, or were dropped");
    } else {
      reportCpuPerMessage(report, prefix, ticks * ProcessFigures.TICK_MS, traffic);
    }
  }

  private static void reportCpuPerMessage(
      Report report,
      String prefix,
      double cpuMs,
      Map<TrafficCounter.Kind, TrafficCounter.Count> traffic) {
    long loadReports = traffic.get(TrafficCounter.Kind.LOAD_REPORT).messages();
    long inbound =
        loadReports
            + traffic.get(TrafficCounter.Kind.USAGE_REPORT).messages()
            + traffic.get(TrafficCounter.Kind.ACKNOWLEDGEMENT).messages();
    if (loadReports > 0) {
      report.add(prefix + "cpu_per_heard", 1000 * cpuMs / loadReports, "us");
    }
    if (inbound > 0) {
      report.add(prefix + "cpu_per_message_in", 1000 * cpuMs / inbound, "us");
    }
  }

  private static void reportTraffic(
      Report report,
      String prefix,
      Map<TrafficCounter.Kind, TrafficCounter.Count> traffic,
      double seconds) {
    double inboundBytes = 0;
    double outboundBytes = 0;
    for (Map.Entry<TrafficCounter.Kind, TrafficCounter.Count> entry : traffic.entrySet()) {
      TrafficCounter.Kind kind = entry.getKey();
      TrafficCounter.Count count = entry.getValue();
      report.add(prefix + kind.figureName() + "_bytes", count.bytes() / seconds, "B/s");
      report.add(prefix + kind.figureName() + "_messages", count.messages() / seconds, "1/s");
      if (kind.isInbound()) {
        inboundBytes += count.bytes();
      } else if (kind == TrafficCounter.Kind.UPDATE) {
        // The other outbound kinds are parts of updates.
        outboundBytes += count.bytes();
      }
    }
    report.add(prefix + "in_bytes", inboundBytes / seconds, "B/s");
    report.add(prefix + "out_bytes", outboundBytes / seconds, "B/s");
  }
}
