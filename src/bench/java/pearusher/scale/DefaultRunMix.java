package pearusher.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * The default mix of runs: several sizes, failures, watchers, the comparison of real and simulated
 * assigners, and a sweep with a time limit.
 */
final class DefaultRunMix {
  private static final List<String> SLOPE_FIGURES =
      List.of(
          "a0.live_heap",
          "a0.rss_end",
          "a0.core",
          "a0.cpu_per_heard",
          "a0.in_bytes",
          "a0.out_bytes",
          "a0.ready",
          "bind_bytes_p50",
          "in_force_everywhere_p50");

  /**
   * The window is long enough that the variation of real assigners' updates stays below {@link
   * Comparison#TOLERANCE}.
   */
  private static final String COMPARISON_OPTIONS =
      "servers 120 assigners 3 proxies 60 seconds 30 settle 10 heap 0";

  private static final List<Double> SLOPE_SERVERS = List.of(30.0, 100.0, 300.0, 1000.0, 2000.0);
  private static final int SLOPE_RUNS = 3;
  private static final double SLOPE_BUDGET_S = 300;

  /** A run of the mix and its options. */
  private record NamedRun(String name, String options) {}

  private static final List<NamedRun> QUICK =
      List.of(
          new NamedRun("30x4", "servers 30 seconds 4 settle 2"),
          new NamedRun("2000x4", "servers 2000 seconds 4 settle 2"),
          new NamedRun(
              "failures",
              "servers 120 assigners 2 proxies 40 seconds 14 settle 2 kill-at 1 "
                  + "zone-lost-at 5 zone-lost-for 2 cut-at 10 cut-for 2 heap 0"),
          new NamedRun(
              "watchers", "servers 2000 watchers 600 seconds 4 settle 1 changes 2 heap 0"));

  private static final List<NamedRun> FULL =
      List.of(
          new NamedRun("30x4", "servers 30"),
          new NamedRun("300x4", "servers 300"),
          new NamedRun("2000x4", "servers 2000"),
          new NamedRun("9100x1", "servers 9100 zones 1"),
          new NamedRun("2000x98", "servers 2000 zones 98"),
          new NamedRun("9100x98", "servers 9100 zones 98"),
          new NamedRun(
              "tier",
              "servers 300 assigners 4 simulated-assigners 20 proxies 480 simulated-updates 1 "
                  + "simulated-lines 30"),
          new NamedRun(
              "failures",
              "servers 300 assigners 3 proxies 120 seconds 30 kill-at 2 zone-lost-at 10 "
                  + "zone-lost-for 5 cut-at 20 cut-for 8"),
          new NamedRun(
              "watchers", "servers 9100 zones 98 assigners 0 proxies 0 watchers 3100 changes 2"));

  private final RunDescription base;
  private final Sweep.Runner runner;
  private final boolean quick;
  private final Path charts;
  private final Report report = new Report();
  private final StringBuilder limits = new StringBuilder();

  DefaultRunMix(RunDescription base, Sweep.Runner runner, boolean quick, Path charts) {
    this.base = base;
    this.runner = runner;
    this.quick = quick;
    this.charts = charts;
  }

  RunOutcome execute() throws IOException, InterruptedException, RunDescriptionException {
    for (NamedRun run : quick ? QUICK : FULL) {
      collect(run.name(), runner.run(base.withOptions(run.options())));
    }
    if (!quick) {
      collect("comparison", new Comparison(base.withOptions(COMPARISON_OPTIONS), runner).execute());
      Sweep.Plan plan =
          new Sweep.Plan(
              RunOption.SERVERS, SLOPE_SERVERS, SLOPE_RUNS, SLOPE_FIGURES, SLOPE_BUDGET_S, charts);
      collect("slope", new Sweep(base.withOptions("seconds 5 settle 3"), plan, runner).execute());
    }
    return new RunOutcome(report, limits.isEmpty() ? null : limits.toString());
  }

  private void collect(String name, RunOutcome outcome) {
    report.addAll(name + ".", outcome.report());
    if (!outcome.isComplete()) {
      limits.append(limits.isEmpty() ? "" : "; ").append(name).append(": ").append(outcome.limit());
    }
  }
}
