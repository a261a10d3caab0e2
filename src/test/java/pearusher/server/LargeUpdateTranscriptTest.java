package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pearusher.Recorded;
import pearusher.control.DecodedUpdate;

/**
 * Compares the updates of tables around and above the size limit of a message with recorded ones:
 * the division of each update into messages, the fields of each message, and a digest of all bytes.
 * A complete table is sent, then all but a few servers drain in one iteration. This guards against
 * weights that are lost, repeated or reordered where a table is divided, and against a wrong marker
 * on a message that is not the last of its update.
 */
class LargeUpdateTranscriptTest {
  private static final long ITERATION_US = 500_000;
  private static final int ITERATIONS = 12;
  private static final int DRAIN_ITERATION = 6;
  private static final int REMAINING_SERVERS = 3;
  private static final int MAX_UNABRIDGED_LENGTH = 30;
  private static final List<String> ZONES = List.of("north", "south");

  @TempDir Path directory;

  /** Starts a harness whose channel rate allows a complete table in one iteration. */
  private TranscriptHarness start(int servers) throws Exception {
    ExampleConfig example =
        new ExampleConfig()
            .with("\"proxyCount\": 8", "\"proxyCount\": 2")
            .with("\"channelRate\": 3900.0", "\"channelRate\": 10000000.0")
            .with("\"mostWaiting\": 5900.0", "\"mostWaiting\": 10000000.0");
    TranscriptHarness harness = new TranscriptHarness(example.read(directory), ZONES);
    for (int server = 0; server < servers; server++) {
      harness.servers.put(
          "s" + server, new TranscriptHarness.ListedServer(server % ZONES.size(), "in_service", 0));
    }
    harness.start();
    return harness;
  }

  private static void drainAllButRemaining(TranscriptHarness harness) {
    List.copyOf(harness.servers.keySet()).stream()
        .skip(REMAINING_SERVERS)
        .forEach(server -> harness.changeServer(server, "terminating"));
  }

  private static void run(TranscriptHarness harness) throws Exception {
    harness.joinProxy(0, true);
    harness.joinProxy(1, false);
    for (int iteration = 1; iteration <= ITERATIONS; iteration++) {
      if (iteration == DRAIN_ITERATION) {
        drainAllButRemaining(harness);
      }
      harness.runIteration(ITERATION_US);
      harness.acknowledgeUpdates();
    }
  }

  private static String digest(byte[] bytes) throws Exception {
    return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
  }

  /** Returns a value, abridged to entry count, first and last entry and length if it is long. */
  private static String describe(String value) {
    if (value.length() <= MAX_UNABRIDGED_LENGTH) {
      return value;
    }
    String[] entries = value.split(",");
    return "["
        + entries.length
        + " entries, "
        + entries[0]
        + " to "
        + entries[entries.length - 1]
        + ", "
        + value.length()
        + " characters]";
  }

  private static String describe(List<String> message) {
    return message.stream()
        .map(LargeUpdateTranscriptTest::describe)
        .collect(Collectors.joining(" "));
  }

  private static void describe(TranscriptHarness.SentUpdate update, StringBuilder out)
      throws Exception {
    List<List<String>> messages = DecodedUpdate.parts(update.bytes());
    out.append("== turn ")
        .append(update.iteration())
        .append(", proxy ")
        .append(update.proxy())
        .append(", messages ")
        .append(messages.size())
        .append(", bytes ")
        .append(update.bytes().length)
        .append(", sha256 ")
        .append(digest(update.bytes()))
        .append('\n');
    messages.forEach(message -> out.append(describe(message)).append('\n'));
  }

  @ParameterizedTest
  @ValueSource(ints = {8191, 8192, 8193, 8195, 8196, 16384, 16385})
  void updatesOfLargeTablesAreDividedAsRecorded(int servers) throws Exception {
    TranscriptHarness harness = start(servers);
    run(harness);
    StringBuilder out = new StringBuilder();
    for (TranscriptHarness.SentUpdate update : harness.sentUpdates) {
      describe(update, out);
    }
    assertTrue(out.toString().contains(" whole 1 "), "no message with a complete table");
    Recorded.check("updates-large-" + servers + ".txt", out.toString());
  }
}
