package pearusher.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pearusher.store.FileDisk;
import pearusher.store.Store;
import pearusher.store.StoreOptions;
import pearusher.store.WriteBatch;
import picocli.CommandLine;

/** Tests of the output and the exit statuses of commands. */
class CliTest {
  @TempDir Path dir;
  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();

  private int run(String... args) {
    out.getBuffer().setLength(0);
    err.getBuffer().setLength(0);
    CommandLine commandLine = CommandLineRunner.create();
    commandLine.setOut(new PrintWriter(out));
    commandLine.setErr(new PrintWriter(err));
    return commandLine.execute(args);
  }

  private Path createStore() throws IOException {
    Path directory = dir.resolve("store");
    FileDisk disk = new FileDisk(directory);
    disk.createDirectory();
    try (Store store = Store.open(disk, StoreOptions.DEFAULT)) {
      store.append(
          new WriteBatch()
              .put("b", "two".getBytes(StandardCharsets.UTF_8))
              .put("a", "one".getBytes(StandardCharsets.UTF_8)));
      store.append(new WriteBatch().put("c", new byte[] {0, 1}));
    }
    return directory;
  }

  @Test
  void invalidUsageExitsWithTwoAndAMessage() {
    assertEquals(2, run());
    assertTrue(err.toString().startsWith("pearusher: a command is missing"), err.toString());
    assertEquals(2, run("sotre"));
    assertTrue(err.toString().contains("sotre"), err.toString());
    assertEquals(2, run("store", "inspect"));
    assertTrue(err.toString().contains("DIRECTORY"), err.toString());
    assertEquals(2, run("settings"));
  }

  @Test
  void helpListsEveryCommand() {
    assertEquals(0, run("--help"));
    for (String text : new String[] {"serve", "adapter", "settings", "store", "Exit status"}) {
      assertTrue(out.toString().contains(text), text);
    }
    assertEquals(0, run("store", "--help"));
    for (String command :
        new String[] {"inspect", "verify", "dump", "compact", "backup", "restore"}) {
      assertTrue(out.toString().contains(command), command);
    }
    assertEquals(0, run("store", "backup", "--help"));
  }

  @Test
  void settingsCommandsReportFaultsAndEffectiveValues() throws IOException {
    Path file = Files.writeString(dir.resolve("p.conf"), "store {\n directory /d\n sync evry\n}\n");
    assertEquals(2, run("settings", "check", file.toString()));
    assertTrue(
        out.toString().contains(file + ":3:2: store.sync: 'evry' is not one of"), out.toString());
    assertEquals(2, run("settings", "check", "--json", file.toString()));
    assertTrue(
        out.toString().startsWith("[{\"file\":\"" + file + "\",\"line\":3,\"column\":2,"),
        out.toString());
    assertEquals(2, run("settings", "show", file.toString()));
    Files.writeString(file, "store {\n directory /d\n}\n");
    assertEquals(0, run("settings", "check", file.toString()));
    assertEquals(0, run("settings", "show", file.toString()));
    assertTrue(
        out.toString().matches("(?s).*store.directory +/d +" + file + ":2:2.*"), out.toString());
    assertEquals(0, run("settings", "show", "--json"));
    assertTrue(
        out.toString().contains("\"store.sync\":{\"value\":\"off\",\"from\":\"default\""),
        out.toString());
  }

  @Test
  void storeCommandsInspectDumpCompactAndCopyAStore() throws IOException {
    Path directory = createStore();
    assertEquals(0, run("store", "inspect", "--json", directory.toString()));
    assertTrue(
        out.toString().contains("\"sequence\":2,\"confirmed\":2,\"keys\":3"), out.toString());
    assertEquals(0, run("store", "dump", directory.toString()));
    assertEquals("a = one\nb = two\nc = 0x0001\n", out.toString());
    assertEquals(0, run("store", "dump", "--json", "--prefix", "a", directory.toString()));
    assertEquals("{\"a\":\"6f6e65\"}\n", out.toString());
    assertEquals(0, run("store", "compact", directory.toString()));
    assertEquals(0, run("store", "verify", directory.toString()));
    assertTrue(out.toString().matches("(?s).*checkpoints +1\n.*damage +none\n"), out.toString());
    Path copy = dir.resolve("copy");
    assertEquals(0, run("store", "backup", directory.toString(), copy.toString()));
    assertEquals("copied up to record 2\n", out.toString());
    Path restored = dir.resolve("back");
    assertEquals(0, run("store", "restore", restored.toString(), "--from", copy.toString()));
    assertEquals(0, run("store", "dump", restored.toString()));
    assertTrue(out.toString().startsWith("!copied = "), out.toString());
    assertEquals(1, run("store", "restore", restored.toString(), "--from", copy.toString()));
    assertTrue(err.toString().contains("is not empty"), err.toString());
  }

  @Test
  void failureExitsWithOneAndPrintsOneLine() throws IOException {
    Path directory = createStore();
    assertEquals(1, run("store", "inspect", dir.resolve("none").toString()));
    assertEquals(1, err.toString().lines().count(), err.toString());
    try (Store openStore = Store.open(new FileDisk(directory), StoreOptions.DEFAULT)) {
      assertEquals(1, run("store", "compact", directory.toString()));
      assertTrue(err.toString().contains("is in use by another process"), err.toString());
      // The inspect command takes no lock, so that it succeeds while the store is open.
      assertEquals(0, run("store", "inspect", directory.toString()));
      assertEquals(2, openStore.releaseRecovered().sequence());
    }
    Path log;
    try (var files = Files.list(directory)) {
      log =
          files
              .filter(file -> file.getFileName().toString().startsWith("log-"))
              .sorted()
              .findFirst()
              .orElseThrow();
    }
    byte[] bytes = Files.readAllBytes(log);
    bytes[70] ^= 1;
    Files.write(log, bytes);
    assertEquals(1, run("store", "verify", directory.toString()));
    assertTrue(out.toString().contains("record 1 can't be read"), out.toString());
  }
}
