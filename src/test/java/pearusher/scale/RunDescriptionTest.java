package pearusher.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

/** Run descriptions from files and the command line. */
class RunDescriptionTest {
  @TempDir private Path directory;

  @Test
  void fileSetsItsOptions() throws Exception {
    Path file =
        Files.writeString(directory.resolve("run"), "servers 40 # a small site\n\nzones 2\n");
    RunDescription run = RunDescription.defaults().withFile(file);
    assertEquals(40, run.servers());
    assertEquals(2, run.zones());
    assertEquals(2, run.proxyZones());
    assertEquals(40, run.reportsPerSecond());
  }

  @ParameterizedTest
  @CsvSource({
    "server 3, server",
    "servers many, servers",
    "servers 0, servers",
    "zones 99, zones",
    "seed NaN, seed",
    "proxies, proxies",
    "proxies 1 2, proxies"
  })
  void reportsInvalidOptionOfFileInOneLine(String line, String key) throws Exception {
    Path file = Files.writeString(directory.resolve("run"), "classes 2\n" + line + "\n");
    StringWriter err = new StringWriter();
    CommandLine command = ScaleCommand.commandLine().setErr(new PrintWriter(err, true));
    assertEquals(ScaleCommand.EXIT_USAGE, command.execute("--run", file.toString()));
    assertEquals(1, err.toString().lines().count(), err.toString());
    assertTrue(err.toString().contains(" line 2: the key " + key + " "), err.toString());
  }

  @Test
  void reportsInvalidCommandLineOption() {
    StringWriter err = new StringWriter();
    CommandLine command = ScaleCommand.commandLine().setErr(new PrintWriter(err, true));
    assertEquals(ScaleCommand.EXIT_USAGE, command.execute("--servers", "-3"));
    assertEquals("scale: the key servers is out of range: -3", err.toString().strip());
  }

  @Test
  void rejectsMissingFile() {
    assertThrows(
        RunDescriptionException.class,
        () -> RunDescription.defaults().withFile(directory.resolve("none")));
  }
}
