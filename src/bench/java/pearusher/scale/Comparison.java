package pearusher.scale;

import java.io.IOException;
import java.util.Locale;

/**
 * Hollow assigners held against real ones: the same fleet once all real, once with one real
 * assigner only. For each role both runs' bytes and messages a second and their ratio. The number
 * of changed lines and updates that hollow ones write is taken from the real run, since they decide
 * nothing; sizes and forms are their own.
 */
final class Comparison {
  /** Both must agree within this share. */
  static final double MOST_OFF = 0.05;

  /** Who says it to whom, and the kind of what is said. */
  private enum Role {
    DISCOVERY(Traffic.Kind.LIST_WHOLE, Traffic.Kind.LIST_CHANGE, Traffic.Kind.LIST_BEAT),
    COLLECTORS(Traffic.Kind.HEARD),
    PROXIES(Traffic.Kind.USAGE, Traffic.Kind.APPLIED),
    ASSIGNERS(Traffic.Kind.ORDER);

    // Only read.
    @SuppressWarnings("ImmutableEnumChecker")
    private final Traffic.Kind[] kinds;

    Role(Traffic.Kind... kinds) {
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
    RunDescription allReal = run.with(RunKey.ASSIGNERS, count).with(RunKey.HOLLOW_ASSIGNERS, 0);
    ScaleRun.Outcome real = runner.run(allReal);
    if (!real.reached()) {
      return new ScaleRun.Outcome(real.report(), "all real: " + real.limit());
    }
    ScaleRun.Outcome hollow =
        runner.run(
            paced(allReal, real.report())
                .with(RunKey.ASSIGNERS, 1)
                .with(RunKey.HOLLOW_ASSIGNERS, count - 1.0));
    if (!hollow.reached()) {
      return new ScaleRun.Outcome(hollow.report(), "mostly hollow: " + hollow.limit());
    }
    for (Role role : Role.values()) {
      String name = role.name().toLowerCase(Locale.ROOT);
      compareRole(name, role, "_bytes", "B/s", real.report(), hollow.report());
      compareRole(name, role, "_messages", "1/s", real.report(), hollow.report());
    }
    String bind = "bind_bytes_p50";
    compare("bind_bytes", real.report().value(bind), hollow.report().value(bind), "B");
    report.add("within_5_percent", within ? 1 : 0, "yes");
    return new ScaleRun.Outcome(report, within ? null : "a ratio is off by more than 5 percent");
  }

  /** The same run with the pace of updates and lines that real assigners showed. */
  private RunDescription paced(RunDescription allReal, Report real) throws RunDescription.Fault {
    double perProxy = run.periodMs() / 1000.0 / run.proxies();
    double orders = sum(real, Traffic.Kind.ORDER, "_messages");
    double updates = (orders - sum(real, Traffic.Kind.ORDER_OUT, "_messages")) * perProxy;
    double lines = sum(real, Traffic.Kind.ORDER_LINE, "_messages") * perProxy;
    return allReal
        .with(RunKey.HOLLOW_UPDATES, Math.max(0, updates))
        .with(RunKey.HOLLOW_LINES, updates > 0 ? lines / updates : 0);
  }

  private double sum(Report from, Role role, String what) {
    double out = 0;
    for (Traffic.Kind kind : role.kinds) {
      out += sum(from, kind, what);
    }
    return out;
  }

  /** Over all assigners of a run, real and hollow. */
  private double sum(Report from, Traffic.Kind kind, String what) {
    String name = (kind.in() ? "in." : "out.") + kind.name().toLowerCase(Locale.ROOT) + what;
    return from.figures().stream()
        .filter(one -> one.name().matches("[ah]\\d+\\." + name))
        .mapToDouble(Report.Figure::value)
        .sum();
  }

  private void compareRole(
      String name, Role role, String what, String unit, Report real, Report hollow) {
    compare(name + what, sum(real, role, what), sum(hollow, role, what), unit);
  }

  private void compare(String name, double real, double hollow, String unit) {
    report.add(name + ".real", real, unit);
    report.add(name + ".hollow", hollow, unit);
    double ratio = hollow / real;
    report.add(name + ".ratio", ratio, "hollow_to_real");
    within &= Math.abs(ratio - 1) <= MOST_OFF;
  }
}
