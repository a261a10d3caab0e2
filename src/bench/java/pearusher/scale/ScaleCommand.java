package pearusher.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;

/**
 * The command line of the scale run. Exit status: 0 success, 1 a limit was reached or a run failed,
 * 2 usage error.
 */
@Command(
    name = "scale",
    mixinStandardHelpOptions = true,
    sortOptions = false,
    description = {
      "Run real and simulated assigners of a given size on loopback and measure them.",
      "Without a size, run a mix of sizes. Exit status: 0 success, 1 a limit was reached,"
          + " 2 usage error."
    })
final class ScaleCommand implements Callable<Integer> {
  static final int EXIT_FAILED = 1;
  static final int EXIT_USAGE = 2;
  private static final String DEFAULT_FIGURES =
      "a0.live_heap,a0.rss_end,a0.core,a0.cpu_per_heard,"
          + "a0.cpu_per_message_in,a0.in_bytes,a0.out_bytes,a0.ready,a0.ready_cpu,bind_bytes_p50,"
          + "bind_time_p50,in_force_everywhere_p50,watcher_list_max,watcher_change_max";

  @Option(
      names = "--run",
      paramLabel = "FILE",
      description =
          "Run description with one `key value` per line; command-line options override it.")
  private Path file;

  @Option(names = "--root", defaultValue = ".", description = "Directory of the build to measure.")
  private Path root;

  @Option(names = "--jar", description = "Jar to measure instead of the one in the run line.")
  private Path jar;

  @Option(
      names = "--flags",
      defaultValue = "",
      description = "JVM flags, which override those of the run line.")
  private String flags;

  @Option(names = "--json", description = "File to which the figures are written as JSON.")
  private Path json;

  @Option(names = "--quick", description = "Run the mix in under two minutes.")
  private boolean quick;

  @Option(
      names = "--compare",
      description = "Compare a fleet of real assigners with a mostly simulated one.")
  private boolean compare;

  @Option(
      names = "--sweep",
      paramLabel = "KEY",
      description = "Fit lines to figures over sizes of this key.")
  private String sweep;

  @Option(
      names = "--sizes",
      split = ",",
      description = "Sizes of the sweep in ascending order, at least five.")
  private List<Double> sizes = new ArrayList<>();

  @Option(names = "--runs", defaultValue = "3", description = "Runs at each size.")
  private int runs;

  @Option(
      names = "--figures",
      split = ",",
      defaultValue = DEFAULT_FIGURES,
      description = "Figures of a sweep.")
  private List<String> figures;

  @Option(
      names = "--budget",
      defaultValue = "840",
      description = "Time limit of the sweep, in seconds.")
  private double budgetSeconds;

  @Option(names = "--charts", description = "Directory for the charts of the fitted lines.")
  private Path charts;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  private ScaleCommand() {}

  public static void main(String[] args) {
    System.exit(commandLine().execute(args));
  }

  static CommandLine commandLine() {
    CommandLine commandLine = new CommandLine(new ScaleCommand());
    for (RunOption key : RunOption.values()) {
      commandLine
          .getCommandSpec()
          .addOption(
              CommandLine.Model.OptionSpec.builder("--" + key.key())
                  .type(String.class)
                  .paramLabel("N")
                  .description(key.description() + " (" + key.defaultValue() + ")")
                  .build());
    }
    commandLine.setParameterExceptionHandler(
        (e, args) -> {
          e.getCommandLine().getErr().println("scale: " + e.getMessage());
          return EXIT_USAGE;
        });
    commandLine.setExecutionExceptionHandler(
        (e, at, parsed) -> {
          at.getErr().println("scale: " + e);
          return EXIT_FAILED;
        });
    return commandLine;
  }

  @Override
  public Integer call() throws IOException, InterruptedException {
    try {
      return report(execute());
    } catch (RunDescriptionException e) {
      throw new ParameterException(spec.commandLine(), e.getMessage());
    }
  }

  private int report(RunOutcome outcome) throws IOException, RunDescriptionException {
    outcome.report().print(System.out);
    if (json != null) {
      outcome.report().writeJson(json, description());
    }
    if (!outcome.isComplete()) {
      System.err.println("scale: " + outcome.limit());
    }
    return outcome.isComplete() ? 0 : EXIT_FAILED;
  }

  private RunOutcome execute() throws IOException, InterruptedException, RunDescriptionException {
    RunDescription description = description();
    RunCommand runCommand = RunCommand.fromBuild(root.toAbsolutePath().normalize(), jar, flags);
    Sweep.Runner runner = run -> new ScaleRun(run, runCommand).execute();
    if (sweep != null) {
      return new Sweep(description, sweepPlan(), runner).execute();
    }
    if (compare) {
      return new Comparison(description, runner).execute();
    }
    return hasSize()
        ? runner.run(description)
        : new DefaultRunMix(description, runner, quick, charts).execute();
  }

  private Sweep.Plan sweepPlan() throws RunDescriptionException {
    RunOption key =
        RunOption.find(sweep)
            .orElseThrow(
                () -> new RunDescriptionException("--sweep: the key " + sweep + " is not known"));
    long distinctSizes = sizes.stream().distinct().count();
    if (distinctSizes < Sweep.MIN_SIZES) {
      throw new RunDescriptionException(
          "--sizes: expected at least "
              + Sweep.MIN_SIZES
              + " different sizes, got "
              + distinctSizes);
    }
    for (double size : sizes) {
      RunDescription.defaults().with(key, size);
    }
    return new Sweep.Plan(key, sizes, runs, figures, budgetSeconds, charts);
  }

  /** Returns whether a size is given, which selects a single run instead of the mix. */
  private boolean hasSize() {
    return file != null || givenOptions().stream().anyMatch(key -> key != RunOption.SEED);
  }

  private List<RunOption> givenOptions() {
    List<RunOption> given = new ArrayList<>();
    for (RunOption key : RunOption.values()) {
      if (spec.findOption("--" + key.key()).getValue() != null) {
        given.add(key);
      }
    }
    return given;
  }

  private RunDescription description() throws RunDescriptionException {
    RunDescription description = RunDescription.defaults();
    description = file == null ? description : description.withFile(file);
    for (RunOption key : givenOptions()) {
      description = description.with(key.key(), spec.findOption("--" + key.key()).getValue());
    }
    return description;
  }
}
