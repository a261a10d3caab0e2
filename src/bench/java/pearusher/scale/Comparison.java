package pearusher.scale;

import java.io.IOException;
import java.util.Locale;

/**
 * Simulated assigners held against real ones: the same fleet once all real, once with one real
 * assigner only. For each role both runs' bytes and messages a second and their ratio. The number
 * of changed lines and updates that simulated ones write is taken from the real run, since they
 * decide nothing; sizes and forms are their own.
 */
final class Comparison {
  /** Both must agree within this share. */
  static final double MOST_OFF = 0.05;

  /** Who says it to whom, and the kind of what is said. */
  private enum Role {
    DISCOVERY(
        TrafficCounter.Kind.LIST_WHOLE,
        TrafficCounter.Kind.LIST_CHANGE,
        TrafficCounter.Kind.LIST_BEAT),
    COLLECTORS(TrafficCounter.Kind.HEARD),
    PROXIES(TrafficCounter.Kind.USAGE, TrafficCounter.Kind.APPLIED),
    ASSIGNERS(TrafficCounter.Kind.ORDER);

    // Only read.
    @SuppressWarnings("ImmutableEnumChecker")
    private final TrafficCounter.Kind[] kinds;

    Role(TrafficCounter.Kind... kinds) {
      this.kinds = kinds;
    }
  }

  private final RunDescription run;
  private final Sweep.Runner runner;
  private final Report report = new Report();
  private boolean within = true;

  Comparison(RunDescription run, Sweep.Runner runner) {
    this.run = run;
    this.runner = runner;
  }

  ScaleRun.Outcome execute() throws IOException, InterruptedException, RunDescription.Fault {
    int count = run.assigners();
    RunDescription allReal = run.with(RunKey.ASSIGNERS, count).with(RunKey.SIMULATED_ASSIGNERS, 0);
    ScaleRun.Outcome real = runner.run(allReal);
    if (!real.reached()) {
      return new ScaleRun.Outcome(real.report(), "all real: " + real.limit());
    }
    ScaleRun.Outcome simulated =
        runner.run(
            paced(allReal, real.report())
                .with(RunKey.ASSIGNERS, 1)
                .with(RunKey.SIMULATED_ASSIGNERS, count - 1.0));
    if (!simulated.reached()) {
      return new ScaleRun.Outcome(simulated.report(), "mostly simulated: " + simulated.limit());
    }
    for (Role role : Role.values()) {
      String name = role.name().toLowerCase(Locale.ROOT);
      compareRole(name, role, "_bytes", "B/s", real.report(), simulated.report());
      compareRole(name, role, "_messages", "1/s", real.report(), simulated.report());
    }
    String bind = "bind_bytes_p50";
    compare("bind_bytes", real.report().value(bind), simulated.report().value(bind), "B");
    report.add("within_5_percent", within ? 1 : 0, "yes");
    return new ScaleRun.Outcome(report, within ? null : "a ratio is off by more than 5 percent");
  }

  /** The same run with the pace of updates and lines that real assigners showed. */
  private RunDescription paced(RunDescription allReal, Report real) throws RunDescription.Fault {
    double perProxy = run.periodMs() / 1000.0 / run.proxies();
    double orders = sum(real, TrafficCounter.Kind.ORDER, "_messages");
    double updates = (orders - sum(real, TrafficCounter.Kind.ORDER_OUT, "_messages")) * perProxy;
    double lines = sum(real, TrafficCounter.Kind.ORDER_LINE, "_messages") * perProxy;
    return allReal
        .with(RunKey.SIMULATED_UPDATES, Math.max(0, updates))
        .with(RunKey.SIMULATED_LINES, updates > 0 ? lines / updates : 0);
  }

  private double sum(Report from, Role role, String what) {
    double out = 0;
    for (TrafficCounter.Kind kind : role.kinds) {
      out += sum(from, kind, what);
    }
    return out;
  }

  /** Over all assigners of a run, real and simulated. */
  private double sum(Report from, TrafficCounter.Kind kind, String what) {
    String name = (kind.in() ? "in." : "out.") + kind.name().toLowerCase(Locale.ROOT) + what;
    return from.figures().stream()
        .filter(one -> one.name().matches("[ah]\\d+\\." + name))
        .mapToDouble(Report.Figure::value)
        .sum();
  }

  private void compareRole(
      String name, Role role, String what, String unit, Report real, Report simulated) {
    compare(name + what, sum(real, role, what), sum(simulated, role, what), unit);
  }

  private void compare(String name, double real, double simulated, String unit) {
    report.add(name + ".real", real, unit);
    report.add(name + ".simulated", simulated, unit);
    double ratio = simulated / real;
    report.add(name + ".ratio", ratio, "simulated_to_real");
    within &= Math.abs(ratio - 1) <= MOST_OFF;
  }
}
