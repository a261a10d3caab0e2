package pearusher.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pearusher.Recorded;
import picocli.CommandLine;

/** Characterization test: output and exit statuses of the commands must equal the recorded ones. */
class CommandOutputTest {
  private static final String EVERY_KEY = Recorded.file("every-key.conf").toString();
  private static final String FAULTY = Recorded.file("faulty.conf").toString();

  @TempDir Path dir;
  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();

  private int run(String... args) {
    out.getBuffer().setLength(0);
    err.getBuffer().setLength(0);
    CommandLine commandLine = CommandLineRunner.create();
    commandLine.setColorScheme(CommandLine.Help.defaultColorScheme(CommandLine.Help.Ansi.OFF));
    commandLine.setOut(new PrintWriter(out));
    commandLine.setErr(new PrintWriter(err));
    return commandLine.execute(args);
  }

  @ParameterizedTest
  @CsvSource({
    "'', help.txt",
    "serve, help-serve.txt",
    "adapter, help-adapter.txt",
    "settings, help-settings.txt",
    "settings check, help-settings-check.txt",
    "settings show, help-settings-show.txt",
    "store, help-store.txt",
    "store inspect, help-store-inspect.txt",
    "store verify, help-store-verify.txt",
    "store dump, help-store-dump.txt",
    "store compact, help-store-compact.txt",
    "store backup, help-store-backup.txt",
    "store restore, help-store-restore.txt"
  })
  void helpOfACommandEqualsTheRecordedText(String command, String file) throws IOException {
    assertEquals(0, run((command + " --help").strip().split(" ")));
    assertEquals("", err.toString());
    Recorded.check(file, out.toString());
  }

  @Test
  void effectiveSettingsWithoutAFileEqualTheRecordedOnes() throws IOException {
    assertEquals(0, run("settings", "show", "--json"));
    Recorded.check("settings-show-no-file.json", out.toString());
    assertEquals(0, run("settings", "show"));
    Recorded.check("settings-show-no-file.txt", out.toString());
  }

  @Test
  void effectiveSettingsOfTheDeployedFileEqualTheRecordedOnes() throws IOException {
    assertEquals(0, run("settings", "show", "--json", "deploy/pearusher.conf"));
    Recorded.check("settings-show-deployed.json", out.toString());
  }

  @Test
  void effectiveSettingsWithEveryKeySetEqualTheRecordedOnes() throws IOException {
    assertEquals(0, run("settings", "show", "--json", EVERY_KEY));
    Recorded.check("settings-show-every-key.json", out.toString().replace(EVERY_KEY, "FILE"));
    assertEquals(0, run("settings", "show", EVERY_KEY));
    Recorded.check("settings-show-every-key.txt", out.toString().replace(EVERY_KEY, "FILE"));
  }

  /** Unset keys of a block that is on have their defaults. */
  @Test
  void defaultsOfEnabledBlocksEqualTheRecordedOnes() throws IOException {
    Path file =
        Files.writeString(
            dir.resolve("some.conf"), "store {\n directory /d\n}\nintake {\n over 3s\n}\n");
    assertEquals(0, run("settings", "show", "--json", file.toString()));
    Recorded.check("settings-show-defaults.json", out.toString().replace(file.toString(), "FILE"));
  }

  @Test
  void outputOfSettingsCheckEqualsTheRecordedOne() throws IOException {
    StringBuilder all = new StringBuilder();
    for (List<String> args :
        List.of(
            List.of("settings", "check", "deploy/pearusher.conf"),
            List.of("settings", "check", "--json", "deploy/pearusher.conf"),
            List.of("settings", "check", EVERY_KEY),
            List.of("settings", "check", FAULTY),
            List.of("settings", "check", "--json", FAULTY))) {
      int status = run(args.toArray(new String[0]));
      all.append("== ")
          .append(String.join(" ", args))
          .append("\nstatus ")
          .append(status)
          .append('\n')
          .append(out);
    }
    Recorded.check(
        "settings-check.txt",
        all.toString().replace(EVERY_KEY, "EVERY_KEY").replace(FAULTY, "FAULTY"));
  }

  /** Runs a command and discards what it writes to the standard error of the process. */
  private int runWithStandardErrorDiscarded(String... args) {
    PrintStream originalErr = System.err;
    System.setErr(new PrintStream(OutputStream.nullOutputStream()));
    try {
      return run(args);
    } finally {
      System.setErr(originalErr);
    }
  }

  /**
   * Records the exit status of each command line. DIR is replaced by an empty directory, NONE by a
   * path that does not exist, and FAULTY and EVERY_KEY by settings files.
   */
  @Test
  void exitStatusesEqualTheRecordedOnes() throws IOException {
    StringBuilder all = new StringBuilder();
    for (String commandLine :
        List.of(
            "",
            "unknown",
            "--unknown",
            "--help",
            "-h",
            "serve --unknown",
            "serve --settings",
            "serve --settings NONE",
            "serve --settings FAULTY",
            "serve extra",
            "adapter extra",
            "adapter --unknown",
            "settings",
            "settings unknown",
            "settings check",
            "settings check NONE",
            "settings check FAULTY",
            "settings check EVERY_KEY",
            "settings check a b",
            "settings show NONE",
            "settings show FAULTY",
            "settings show",
            "settings show --unknown",
            "store",
            "store unknown",
            "store inspect",
            "store inspect NONE",
            "store verify NONE",
            "store dump NONE",
            "store compact NONE",
            "store backup NONE",
            "store backup NONE DIR/copy",
            "store restore DIR",
            "store restore DIR --from",
            "store restore DIR --from NONE",
            "store dump --prefix",
            "store inspect --unknown DIR")) {
      String[] args =
          commandLine.isEmpty()
              ? new String[0]
              : commandLine
                  .replace("DIR", dir.toString())
                  .replace("NONE", dir.resolve("none").toString())
                  .replace("FAULTY", FAULTY)
                  .replace("EVERY_KEY", EVERY_KEY)
                  .split(" ");
      int status = runWithStandardErrorDiscarded(args);
      all.append(status).append(": ").append(commandLine).append('\n');
    }
    Recorded.check("exit-statuses.txt", all.toString());
  }
}
