package pearusher.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Repeats runs over sizes of one option and fits a line to each figure. Stops at the first size
 * that is not reached or when its time limit expires, and reports which sizes have no figures.
 */
final class Sweep {
  /** The smallest number of sizes to which a line is fitted. */
  static final int MIN_SIZES = 5;

  /** The option, its sizes and the figures of a sweep. */
  record Plan(
      RunOption key,
      List<Double> sizes,
      int runs,
      List<String> figures,
      double budgetSeconds,
      Path charts) {}

  /** Executes one run. Tests replace it by a stub. */
  interface Runner {
    RunOutcome run(RunDescription description) throws IOException, InterruptedException;
  }

  private final RunDescription base;
  private final Plan plan;
  private final Runner runner;
  private final Map<String, List<LeastSquares.Point>> points = new LinkedHashMap<>();
  private final Map<String, String> units = new LinkedHashMap<>();
  private final Report report = new Report();

  Sweep(RunDescription base, Plan plan, Runner runner) {
    this.base = base;
    this.plan = plan;
    this.runner = runner;
  }

  RunOutcome execute() throws IOException, InterruptedException, RunDescriptionException {
    String limit = runAll();
    for (String figure : points.keySet()) {
      reportLine(figure);
    }
    if (limit != null) {
      report.remark("limit", limit);
    }
    return new RunOutcome(report, limit);
  }

  private String runAll() throws IOException, InterruptedException, RunDescriptionException {
    long startNs = System.nanoTime();
    double longestRunSeconds = 0;
    for (double size : plan.sizes()) {
      for (int run = 1; run <= plan.runs(); run++) {
        double elapsedSeconds = (System.nanoTime() - startNs) / 1e9;
        String position = plan.key().key() + " " + Report.format(size) + ", run " + run;
        if (elapsedSeconds + longestRunSeconds > plan.budgetSeconds()) {
          return "time: "
              + Report.format(plan.budgetSeconds())
              + " s; reached: all before "
              + position;
        }
        RunOutcome outcome =
            runner.run(
                base.with(plan.key(), size).with(RunOption.SEED, (double) (base.seed() + run)));
        if (!outcome.isComplete()) {
          return position + ": " + outcome.limit();
        }
        collect(size, run, outcome.report());
        longestRunSeconds =
            Math.max(longestRunSeconds, (System.nanoTime() - startNs) / 1e9 - elapsedSeconds);
      }
    }
    return null;
  }

  private void collect(double size, int run, Report runReport) {
    for (Report.Figure figure : runReport.figures()) {
      if (plan.figures().contains(figure.name())) {
        points
            .computeIfAbsent(figure.name(), name -> new ArrayList<>())
            .add(new LeastSquares.Point(size, figure.value()));
        units.put(figure.name(), figure.unit());
        report.add(
            figure.name() + "@" + plan.key().key() + "=" + Report.format(size) + "#" + run,
            figure.value(),
            figure.unit());
      }
    }
  }

  private void reportLine(String figure) throws IOException {
    List<LeastSquares.Point> measured = points.get(figure);
    Set<Double> sizes = new TreeSet<>();
    measured.forEach(point -> sizes.add(point.size()));
    String name = figure + "/" + plan.key().key();
    if (sizes.size() < MIN_SIZES) {
      report.remark(
          name, "no line fitted: got " + sizes.size() + " sizes, expected at least " + MIN_SIZES);
      return;
    }
    LeastSquares line = LeastSquares.fit(measured);
    String unit = units.get(figure);
    report.add(name + ".slope", line.slope(), unit + "_each");
    report.add(name + ".intercept", line.intercept(), unit);
    report.add(name + ".residual", line.residual(), "of_mean");
    report.add(name + ".explained", line.explained(), "r2");
    report.add(name + ".straight", line.isStraight() ? 1 : 0, "yes");
    if (plan.charts() != null) {
      Files.createDirectories(plan.charts());
      Files.writeString(
          plan.charts().resolve(figure + "-" + plan.key().key() + ".svg"),
          new SlopeChart(figure + ", " + unit, plan.key().key(), measured, line).toSvg());
    }
  }
}
