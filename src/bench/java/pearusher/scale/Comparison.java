package pearusher.scale;

import java.io.IOException;
import java.util.Locale;

/**
 * Compares simulated assigners with real ones. The fleet runs once with real assigners only and
 * once with a single real assigner. Reports the bytes and messages per second of both runs for each
 * role, and their ratios. Simulated assigners make no decisions, so their rates of updates and
 * weight changes are taken from the real run. The sizes and encodings of their messages are their
 * own.
 */
final class Comparison {
  /** The largest accepted deviation of a ratio from 1. */
  static final double TOLERANCE = 0.05;

  /** Senders and the kinds of messages that they send. */
  private enum Role {
    DISCOVERY(
        TrafficCounter.Kind.FULL_LIST,
        TrafficCounter.Kind.LIST_CHANGE,
        TrafficCounter.Kind.LIST_HEARTBEAT),
    COLLECTORS(TrafficCounter.Kind.LOAD_REPORT),
    PROXIES(TrafficCounter.Kind.USAGE_REPORT, TrafficCounter.Kind.ACKNOWLEDGEMENT),
    ASSIGNERS(TrafficCounter.Kind.UPDATE);

    // The array is never modified.
    @SuppressWarnings("ImmutableEnumChecker")
    private final TrafficCounter.Kind[] kinds;

    Role(TrafficCounter.Kind... kinds) {
      this.kinds = kinds;
    }
  }

  private final RunDescription run;
  private final Sweep.Runner runner;
  private final Report report = new Report();
  private boolean isWithinTolerance = true;

  Comparison(RunDescription run, Sweep.Runner runner) {
    this.run = run;
    this.runner = runner;
  }

  RunOutcome execute() throws IOException, InterruptedException, RunDescriptionException {
    int count = run.assigners();
    RunDescription allReal =
        run.with(RunOption.ASSIGNERS, count).with(RunOption.SIMULATED_ASSIGNERS, 0);
    RunOutcome real = runner.run(allReal);
    if (!real.isComplete()) {
      return new RunOutcome(real.report(), "all real: " + real.limit());
    }
    RunOutcome simulated =
        runner.run(
            withRatesOf(allReal, real.report())
                .with(RunOption.ASSIGNERS, 1)
                .with(RunOption.SIMULATED_ASSIGNERS, count - 1.0));
    if (!simulated.isComplete()) {
      return new RunOutcome(simulated.report(), "mostly simulated: " + simulated.limit());
    }
    for (Role role : Role.values()) {
      String name = role.name().toLowerCase(Locale.ROOT);
      compareRole(name, role, "_bytes", "B/s", real.report(), simulated.report());
      compareRole(name, role, "_messages", "1/s", real.report(), simulated.report());
    }
    String bind = "bind_bytes_p50";
    compare("bind_bytes", real.report().value(bind), simulated.report().value(bind), "B");
    report.add("within_5_percent", isWithinTolerance ? 1 : 0, "yes");
    return new RunOutcome(
        report, isWithinTolerance ? null : "a ratio deviates from 1 by more than 5 percent");
  }

  /** Returns the run with the rates of updates and weight changes that the real assigners had. */
  private RunDescription withRatesOf(RunDescription allReal, Report real)
      throws RunDescriptionException {
    double periodsPerProxySecond = run.periodMs() / 1000.0 / run.proxies();
    double updatesPerSecond = sum(real, TrafficCounter.Kind.UPDATE, "_messages");
    double updatesPerPeriod =
        (updatesPerSecond - sum(real, TrafficCounter.Kind.EJECTION, "_messages"))
            * periodsPerProxySecond;
    double entriesPerPeriod =
        sum(real, TrafficCounter.Kind.WEIGHT_ENTRY, "_messages") * periodsPerProxySecond;
    return allReal
        .with(RunOption.SIMULATED_UPDATES, Math.max(0, updatesPerPeriod))
        .with(
            RunOption.SIMULATED_LINES,
            updatesPerPeriod > 0 ? entriesPerPeriod / updatesPerPeriod : 0);
  }

  private double sum(Report report, Role role, String suffix) {
    double total = 0;
    for (TrafficCounter.Kind kind : role.kinds) {
      total += sum(report, kind, suffix);
    }
    return total;
  }

  /** Returns the sum of a figure over all real and simulated assigners of a run. */
  private double sum(Report report, TrafficCounter.Kind kind, String suffix) {
    String name = kind.figureName() + suffix;
    return report.figures().stream()
        .filter(figure -> figure.name().matches("[ah]\\d+\\." + name))
        .mapToDouble(Report.Figure::value)
        .sum();
  }

  private void compareRole(
      String name, Role role, String suffix, String unit, Report real, Report simulated) {
    compare(name + suffix, sum(real, role, suffix), sum(simulated, role, suffix), unit);
  }

  private void compare(String name, double real, double simulated, String unit) {
    report.add(name + ".real", real, unit);
    report.add(name + ".simulated", simulated, unit);
    double ratio = simulated / real;
    report.add(name + ".ratio", ratio, "simulated_to_real");
    isWithinTolerance &= Math.abs(ratio - 1) <= TOLERANCE;
  }
}
