package pearusher.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import picocli.CommandLine;

/** Helper that runs commands within the test's process. */
public final class CommandRun {
  private CommandRun() {}

  /**
   * Runs a command and returns its standard output.
   *
   * @throws AssertionError if the exit status differs from the expected one, or the command writes
   *     to its standard error
   */
  public static String output(int expectedStatus, String... arguments) {
    StringWriter output = new StringWriter();
    StringWriter errors = new StringWriter();
    CommandLine commandLine = CommandLineRunner.create();
    commandLine.setOut(new PrintWriter(output));
    commandLine.setErr(new PrintWriter(errors));
    int status = commandLine.execute(arguments);
    if (status != expectedStatus || !errors.toString().isEmpty()) {
      throw new AssertionError("status " + status + ", errors: " + errors);
    }
    return output.toString();
  }
}
