package pearusher.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The tree of commands. */
@Command(
    name = "pearusher",
    description = "A table manager that assigns servers to proxies.",
    subcommands = {
      ServeCommand.class,
      SimulatorCommand.class,
      SettingsCommand.class,
      StoreCommand.class
    },
    synopsisSubcommandLabel = "COMMAND",
    footer = {
      "",
      "Exit status: 0 done, 1 failed, 2 used wrongly or faulty settings.",
      "'pearusher COMMAND --help' tells more of a command."
    })
final class CommandLineRunner implements Callable<Integer> {
  static final int FAILED = 1;
  static final int USAGE = 2;

  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    throw new ParameterException(spec.commandLine(), "a command is missing");
  }

  static int run(String... args) {
    return line().execute(args);
  }

  /** The command line with one way to end: faults are one line, never a trace. */
  static CommandLine line() {
    CommandLine line = new CommandLine(new CommandLineRunner());
    mixin(line);
    line.setExecutionExceptionHandler(
        (e, at, parsed) -> {
          at.getErr()
              .println("pearusher: " + (e.getMessage() == null ? e.toString() : e.getMessage()));
          return FAILED;
        });
    line.setParameterExceptionHandler(
        (e, args) -> {
          PrintWriter err = e.getCommandLine().getErr();
          err.println("pearusher: " + e.getMessage());
          e.getCommandLine().getHelp().fullSynopsis().lines().forEach(err::println);
          return USAGE;
        });
    return line;
  }

  /** Every command, however deep, knows {@code --help}. */
  private static void mixin(CommandLine line) {
    line.getCommandSpec()
        .addOption(
            CommandLine.Model.OptionSpec.builder("-h", "--help")
                .usageHelp(true)
                .description("Tell what the command does, and end.")
                .build());
    line.getSubcommands().values().forEach(CommandLineRunner::mixin);
  }
}
