package pearusher.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Root command, and mapping of errors to exit statuses. */
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

  /** Runs a command and returns the exit status. */
  static int run(String... args) {
    return create().execute(args);
  }

  /**
   * Creates the command line. Errors are printed without a stack trace: a message of one line,
   * followed by the synopsis after wrong usage.
   */
  static CommandLine create() {
    CommandLine commandLine = new CommandLine(new CommandLineRunner());
    addHelpOption(commandLine);
    commandLine.setExecutionExceptionHandler(
        (e, command, parsed) -> {
          String text = e.getMessage() == null ? e.toString() : e.getMessage();
          command.getErr().println("pearusher: " + text);
          return FAILED;
        });
    commandLine.setParameterExceptionHandler(
        (e, args) -> {
          PrintWriter err = e.getCommandLine().getErr();
          err.println("pearusher: " + e.getMessage());
          e.getCommandLine().getHelp().fullSynopsis().lines().forEach(err::println);
          return USAGE;
        });
    return commandLine;
  }

  /** Adds {@code --help} to a command and all its subcommands. */
  private static void addHelpOption(CommandLine commandLine) {
    commandLine
        .getCommandSpec()
        .addOption(
            CommandLine.Model.OptionSpec.builder("-h", "--help")
                .usageHelp(true)
                .description("Tell what the command does, and end.")
                .build());
    commandLine.getSubcommands().values().forEach(CommandLineRunner::addHelpOption);
  }
}
