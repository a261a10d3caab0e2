package pearusher.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The time that is measured: what each real assigner used, got and wrote between its begin and its
 * end.
 */
final class MeasurementWindow {
  private record Begin(
      TestFleet.Member member,
      AssignerProcess process,
      long ticks,
      Map<TrafficCounter.Kind, TrafficCounter.Count> traffic) {}

  /** With more than this left unread, lines are not what was worked on. */
  private static final long MOST_UNREAD_BYTES = 64 << 10;

  /**
   * The decisions run on one thread: where a core is nearly full, lines wait within the process.
   */
  private static final double MOST_CORE_PERCENT = 90;

  private final List<Begin> begins = new ArrayList<>();
  private final List<Map<TrafficCounter.Kind, TrafficCounter.Count>> simulated = new ArrayList<>();
  private final TestFleet fleet;
  private final long startNs;

  MeasurementWindow(TestFleet fleet) throws IOException {
    this.fleet = fleet;
    for (TestFleet.Member member : fleet.members()) {
      begins.add(
          new Begin(
              member,
              member.process(),
              ProcessFigures.ticks(member.process().pid()),
              member.traffic().snapshot()));
    }
    fleet.simulatedAssigners().addresses().forEach(one -> simulated.add(one.traffic().snapshot()));
    startNs = System.nanoTime();
  }

  void end(Report report) throws IOException {
    double seconds = (System.nanoTime() - startNs) / 1e9;
    report.add("window", seconds, "s");
    for (Begin begin : begins) {
      String name = "a" + begin.member().number() + ".";
      Map<TrafficCounter.Kind, TrafficCounter.Count> traffic =
          TrafficCounter.difference(begin.member().traffic().snapshot(), begin.traffic());
      traffic(report, name, traffic, seconds);
      // A process that was ended or started anew within the window has no processor time of the
      // window.
      if (begin.process() == begin.member().process() && begin.process().alive()) {
        long ticks = ProcessFigures.ticks(begin.process().pid()) - begin.ticks();
        long unread = ProcessFigures.unreadBytes(begin.process().address().getPort());
        report.add(name + "unread_end", (double) unread, "B");
        double core = ticks * ProcessFigures.TICK_MS / seconds / 10;
        report.add(name + "core", core, "percent_of_a_core");
        if (core > MOST_CORE_PERCENT) {
          report.remark(name + "cpu_per_heard", "not given: a core is full, so lines may wait");
        } else if (unread > MOST_UNREAD_BYTES || begin.process().reportsDropped() != 0) {
          report.remark(name + "cpu_per_heard", "not given: lines were not read, or were dropped");
        } else {
          perMessage(report, name, ticks * ProcessFigures.TICK_MS, traffic);
        }
      }
    }
    List<AssignerAddress> addresses = fleet.simulatedAssigners().addresses();
    for (int k = 0; k < addresses.size(); k++) {
      Map<TrafficCounter.Kind, TrafficCounter.Count> now = addresses.get(k).traffic().snapshot();
      traffic(report, "h" + k + ".", TrafficCounter.difference(now, simulated.get(k)), seconds);
    }
  }

  private static void perMessage(
      Report report,
      String name,
      double cpuMs,
      Map<TrafficCounter.Kind, TrafficCounter.Count> traffic) {
    long heard = traffic.get(TrafficCounter.Kind.HEARD).messages();
    long all =
        heard
            + traffic.get(TrafficCounter.Kind.USAGE).messages()
            + traffic.get(TrafficCounter.Kind.APPLIED).messages();
    if (heard > 0) {
      report.add(name + "cpu_per_heard", 1000 * cpuMs / heard, "us");
    }
    if (all > 0) {
      report.add(name + "cpu_per_message_in", 1000 * cpuMs / all, "us");
    }
  }

  private static void traffic(
      Report report,
      String name,
      Map<TrafficCounter.Kind, TrafficCounter.Count> traffic,
      double seconds) {
    double in = 0;
    double out = 0;
    for (Map.Entry<TrafficCounter.Kind, TrafficCounter.Count> entry : traffic.entrySet()) {
      TrafficCounter.Kind kind = entry.getKey();
      TrafficCounter.Count count = entry.getValue();
      String at =
          name + (kind.in() ? "in." : "out.") + kind.name().toLowerCase(java.util.Locale.ROOT);
      report.add(at + "_bytes", count.bytes() / seconds, "B/s");
      report.add(at + "_messages", count.messages() / seconds, "1/s");
      in += kind.in() ? count.bytes() : 0;
      // Lines and names are parts of orders.
      out += kind == TrafficCounter.Kind.ORDER ? count.bytes() : 0;
    }
    report.add(name + "in_bytes", in / seconds, "B/s");
    report.add(name + "out_bytes", out / seconds, "B/s");
  }
}
