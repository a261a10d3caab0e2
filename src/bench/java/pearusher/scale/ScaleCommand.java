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
      "Run assigners, real and simulated, at a size, on loopback, and measure them.",
      "Without a size it does a mix of them. Exit status: 0 done, 1 a limit was met, 2 used"
          + " wrongly."
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
          "A run description, `key value` a line; " + "options of the command line win over it.")
  private Path file;

  @Option(names = "--root", defaultValue = ".", description = "The build that is measured.")
  private Path root;

  @Option(names = "--jar", description = "Its jar, in place of the run line's.")
  private Path jar;

  @Option(
      names = "--flags",
      defaultValue = "",
      description = "Flags of the virtual machine, which win over the run line's.")
  private String flags;

  @Option(names = "--json", description = "File for the figures as JSON.")
  private Path json;

  @Option(names = "--quick", description = "The mix in under two minutes.")
  private boolean quick;

  @Option(names = "--compare", description = "The same fleet all real and mostly simulated.")
  private boolean compare;

  @Option(names = "--sweep", paramLabel = "KEY", description = "Slopes over sizes of this key.")
  private String sweep;

  @Option(
      names = "--sizes",
      split = ",",
      description = "The sizes of a sweep, five at least, from small to large.")
  private List<Double> sizes = new ArrayList<>();

  @Option(names = "--runs", defaultValue = "3", description = "Runs at each size.")
  private int runs;

  @Option(
      names = "--figures",
      split = ",",
      defaultValue = DEFAULT_FIGURES,
      description = "Figures of a sweep.")
  private List<String> figures;

  @Option(names = "--budget", defaultValue = "840", description = "Most seconds of a sweep.")
  private double budgetSeconds;

  @Option(names = "--charts", description = "Directory for the charts of slopes.")
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
    if (sizes.stream().distinct().count() < Sweep.MIN_SIZES) {
      throw new RunDescriptionException(
          "--sizes: a slope needs " + Sweep.MIN_SIZES + " sizes at least");
    }
    for (double size : sizes) {
      RunDescription.defaults().with(key, size);
    }
    return new Sweep.Plan(key, sizes, runs, figures, budgetSeconds, charts);
  }

  /** Whether a size is given, which selects a single run in place of the mix. */
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
