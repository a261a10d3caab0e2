package pearusher.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Tests the compatibility of this build with an earlier one. The mixed run has one assigner of each
 * build, the unmixed run two assigners of the earlier build. In each run, simulated proxies move
 * between the assigners while servers are drained and replaced. Prints {@code name value unit}
 * lines. The first argument is the jar of the earlier build, with its lib/ in the same directory. A
 * second argument replaces the jar of this build. Fails if a message was dropped, undecodable or
 * unexpected in either run, if a build does not log its drops, or if unneeded complete tables were
 * sent in the mixed run only. Single-threaded, of constant size.
 */
public final class MixedBench {
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;
  private static final String OPTIONS =
      "assigners 2 proxies 48 servers 60 zones 3 proxy-zones 3 classes 2 settle 4 changes 0.8";

  private static final String OLD = "old";
  private static final String NEW = "new";
  private static final String OLD_BESIDE = "old_beside";

  private MixedBench() {}

  public static void main(String[] args) throws Exception {
    if (args.length == 0 || !Files.isRegularFile(Path.of(args[0]))) {
      System.err.println(
          "mixed: expected the jar of an earlier build, with its lib/ in the same directory");
      System.exit(EXIT_USAGE);
    }
    RunCommand oldBuild = build(Path.of(args[0]));
    RunCommand newBuild = build(args.length > 1 ? Path.of(args[1]) : null);
    RunDescription run = RunDescription.defaults().withOptions(OPTIONS);
    try {
      Report mixed = new MixedRun(run, List.of(oldBuild, newBuild), List.of(OLD, NEW)).execute();
      print("mixed.", mixed);
      Report unmixed =
          new MixedRun(run, List.of(oldBuild, oldBuild), List.of(OLD, OLD_BESIDE)).execute();
      print("unmixed.", unmixed);
      List<String> faults = faults(mixed, unmixed);
      faults.forEach(fault -> System.err.println("mixed: " + fault));
      System.exit(faults.isEmpty() ? 0 : EXIT_FAILED);
    } catch (LimitReachedException e) {
      System.err.println("mixed: " + e.getMessage());
      System.exit(EXIT_FAILED);
    }
  }

  private static RunCommand build(Path jar) throws IOException {
    return RunCommand.fromBuild(Path.of("").toAbsolutePath(), jar, "");
  }

  private static void print(String prefix, Report report) {
    Report prefixed = new Report();
    prefixed.addAll(prefix, report);
    prefixed.print(System.out);
  }

  /** Returns the faults that show the builds to be incompatible. */
  static List<String> faults(Report mixed, Report unmixed) {
    List<String> faults = new ArrayList<>();
    addFaults(faults, "mixed.", mixed, List.of(OLD, NEW));
    addFaults(faults, "unmixed.", unmixed, List.of(OLD, OLD_BESIDE));
    double unneeded = sum(mixed, List.of(OLD, NEW), MixedRun.UNNEEDED);
    if (unneeded > 0 && sum(unmixed, List.of(OLD, OLD_BESIDE), MixedRun.UNNEEDED) == 0) {
      faults.add(
          Report.format(unneeded)
              + " unneeded complete tables in the mixed run, none in the unmixed run");
    }
    return faults;
  }

  private static void addFaults(
      List<String> faults, String prefix, Report report, List<String> builds) {
    for (String build : builds) {
      for (String figure :
          List.of(MixedRun.DROP_LINES, MixedRun.UNDECODABLE, MixedRun.UNEXPECTED)) {
        double value = report.value(build + "." + figure);
        if (value != 0) {
          faults.add(prefix + build + "." + figure + " is " + value);
        }
      }
      double probeLines = report.value(build + "." + MixedRun.PROBE_LINES);
      if (probeLines != DropProbe.LINES) {
        faults.add(prefix + build + ": " + probeLines + " log lines for 3 drops");
      }
    }
  }

  private static double sum(Report report, List<String> builds, String figure) {
    return builds.stream().mapToDouble(build -> report.value(build + "." + figure)).sum();
  }
}
