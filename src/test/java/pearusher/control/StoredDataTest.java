package pearusher.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pearusher.cli.CommandRun;

/**
 * Reads a store directory of format 1 that an earlier build wrote with {@link StoredDataWriter}.
 * Guards against builds that read other values from an existing store. The directory and the
 * expected texts are committed and must never be rewritten.
 */
class StoredDataTest {
  private static final Path RESOURCES = Path.of("src", "test", "resources", "pearusher");
  private static final Path EXPECTED = RESOURCES.resolve(StoredDataWriter.EXPECTED);

  /** The entry of a dump that marks a copy and contains the sequence of its last record. */
  private static final String COPY_MARK = "\"!copied\":\"[0-9a-f]{16}\",";

  @TempDir Path work;
  private Path store;

  @BeforeEach
  void copyCommittedStore() throws IOException {
    store = work.resolve("store");
    StoredDataWriter.copy(RESOURCES.resolve(StoredDataWriter.STORE), store);
  }

  private static String expected(String name) throws IOException {
    return Files.readString(EXPECTED.resolve(name));
  }

  private static List<String> expectedLines(String name) throws IOException {
    return Files.readAllLines(EXPECTED.resolve(name));
  }

  private static String command(String name, Path directory) {
    return CommandRun.output(0, "store", name, directory.toString());
  }

  private static String dump(Path directory) {
    return CommandRun.output(0, "store", "dump", "--json", directory.toString());
  }

  private static long countFiles(Path directory, String prefix) throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      return files.filter(file -> file.getFileName().toString().startsWith(prefix)).count();
    }
  }

  @Test
  void theCommittedStoreHasACheckpointAndSeveralLogSegments() throws IOException {
    assertEquals(1, countFiles(store, "checkpoint-"));
    assertTrue(countFiles(store, "log-") >= 3, "log segments: " + countFiles(store, "log-"));
  }

  @Test
  void commandsOnAStoreOfFormatOnePrintTheRecordedText() throws IOException {
    assertEquals(expected("inspect.txt"), command("inspect", store));
    assertEquals(expected("verify.txt"), command("verify", store));
    assertEquals(expected("dump.json"), dump(store));
  }

  @Test
  void aLedgerReadFromAStoreOfFormatOneHasTheRecordedValues() throws IOException {
    assertEquals(expectedLines("ledger.txt"), StoredDataWriter.describeLedger(store));
  }

  @Test
  void aControllerOnAStoreOfFormatOneRestoresTablesAndSendsTheRecordedUpdates() throws Exception {
    assertEquals(
        expectedLines("start.txt"),
        StoredDataWriter.startAndCommand(store, work, StoredDataWriter.READ_US));
  }

  @Test
  void aCompactedStoreOfFormatOneHasTheSameValues() throws Exception {
    CommandRun.output(0, "store", "compact", store.toString());
    assertEquals(expected("dump.json"), dump(store));
    assertEquals(expectedLines("ledger.txt"), StoredDataWriter.describeLedger(store));
    assertEquals(
        expectedLines("start.txt"),
        StoredDataWriter.startAndCommand(store, work, StoredDataWriter.READ_US));
  }

  @Test
  void aBackupAndItsRestoreHaveTheSameValuesAndAreMarkedAsCopies() throws IOException {
    Path backup = work.resolve("backup");
    Path restored = work.resolve("restored");
    String sequence = expected("inspect.txt").replaceAll("(?s).*\nsequence +(\\d+)\n.*", "$1");
    assertEquals(
        "copied up to record " + sequence + "\n",
        CommandRun.output(0, "store", "backup", store.toString(), backup.toString()));
    assertEquals(
        "restored up to record " + sequence + "\n",
        CommandRun.output(0, "store", "restore", restored.toString(), "--from", backup.toString()));
    for (Path copy : List.of(backup, restored)) {
      String text = dump(copy);
      assertTrue(text.matches("(?s)\\{" + COPY_MARK + ".*"), text);
      assertEquals(expected("dump.json"), text.replaceFirst(COPY_MARK, ""));
      assertEquals(expectedLines("ledger.txt"), StoredDataWriter.describeLedger(copy));
    }
    assertEquals(expected("dump.json"), dump(store), "the store itself is unchanged");
  }

  /** Updates may have been sent after the copy was made, so that none of its tables is trusted. */
  @Test
  void aControllerOnARestoredCopyRestoresNoTable() throws Exception {
    Path backup = work.resolve("backup");
    CommandRun.output(0, "store", "backup", store.toString(), backup.toString());
    List<String> start = StoredDataWriter.start(backup, work, StoredDataWriter.READ_US);
    assertEquals(expectedLines("start-of-copy.txt"), start);
  }

  @Test
  void aControllerOnAStoreWhoseLastRecordIsTooOldRestoresNoTable() throws Exception {
    long tooLateUs = StoredDataWriter.END_US + StoredDataFixture.MAX_TRUSTED_AGE_US + 1_000_000;
    assertEquals(
        expectedLines("start-of-copy.txt"), StoredDataWriter.start(store, work, tooLateUs));
  }
}
