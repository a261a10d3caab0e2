package pearusher.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import picocli.CommandLine;

/** Runs the command line within the test's process. */
public final class CommandRun {
  private CommandRun() {}

  /**
   * Runs a command and gives what it writes to its standard output.
   *
   * @throws AssertionError if it ends with a status other than the expected one, or writes an error
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
