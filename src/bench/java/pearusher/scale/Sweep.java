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
 * Runs over sizes of one key, several a size, and the line through each figure. It stops at the
 * first size that can't be reached and at the end of its time, and says which sizes have no figure
 * for that.
 */
final class Sweep {
  /** Fewer sizes make no slope. */
  static final int LEAST_SIZES = 5;

  /** What is swept. */
  record Plan(
      RunKey key,
      List<Double> sizes,
      int runs,
      List<String> figures,
      double budgetS,
      Path charts) {}

  /** Makes one run; a test puts another in its place. */
  interface Runner {
    ScaleRun.Outcome run(RunDescription description) throws IOException, InterruptedException;
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

  ScaleRun.Outcome execute() throws IOException, InterruptedException, RunDescription.Fault {
    String limit = runAll();
    for (String figure : points.keySet()) {
      line(figure);
    }
    if (limit != null) {
      report.remark("limit", limit);
    }
    return new ScaleRun.Outcome(report, limit);
  }

  private String runAll() throws IOException, InterruptedException, RunDescription.Fault {
    long startNs = System.nanoTime();
    double longestS = 0;
    for (double size : plan.sizes()) {
      for (int run = 1; run <= plan.runs(); run++) {
        double passedS = (System.nanoTime() - startNs) / 1e9;
        String at = plan.key().key() + " " + Report.text(size) + ", run " + run;
        if (passedS + longestS > plan.budgetS()) {
          return "time: " + Report.text(plan.budgetS()) + " s; reached: all before " + at;
        }
        ScaleRun.Outcome outcome =
            runner.run(base.with(plan.key(), size).with(RunKey.SEED, (double) (base.seed() + run)));
        if (!outcome.reached()) {
          return at + ": " + outcome.limit();
        }
        take(size, run, outcome.report());
        longestS = Math.max(longestS, (System.nanoTime() - startNs) / 1e9 - passedS);
      }
    }
    return null;
  }

  private void take(double size, int run, Report from) {
    for (Report.Figure figure : from.figures()) {
      if (plan.figures().contains(figure.name())) {
        points
            .computeIfAbsent(figure.name(), name -> new ArrayList<>())
            .add(new LeastSquares.Point(size, figure.value()));
        units.put(figure.name(), figure.unit());
        report.add(
            figure.name() + "@" + plan.key().key() + "=" + Report.text(size) + "#" + run,
            figure.value(),
            figure.unit());
      }
    }
  }

  private void line(String figure) throws IOException {
    List<LeastSquares.Point> at = points.get(figure);
    Set<Double> sizes = new TreeSet<>();
    at.forEach(point -> sizes.add(point.x()));
    String name = figure + "/" + plan.key().key();
    if (sizes.size() < LEAST_SIZES) {
      report.remark(name, "no line: " + sizes.size() + " sizes of at least " + LEAST_SIZES);
      return;
    }
    LeastSquares line = LeastSquares.fit(at);
    String unit = units.get(figure);
    report.add(name + ".slope", line.slope(), unit + "_each");
    report.add(name + ".intercept", line.intercept(), unit);
    report.add(name + ".residual", line.residual(), "of_mean");
    report.add(name + ".explained", line.explained(), "r2");
    report.add(name + ".straight", line.straight() ? 1 : 0, "yes");
    if (plan.charts() != null) {
      Files.createDirectories(plan.charts());
      Files.writeString(
          plan.charts().resolve(figure + "-" + plan.key().key() + ".svg"),
          new SlopeChart(figure + ", " + unit, plan.key().key(), at, line).svg());
    }
  }
}
