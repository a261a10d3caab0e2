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
 * The updates that proxies are sent of tables about as large as a message holds, and larger, as
 * they were recorded: how each update is divided into messages, the fields of each message, and a
 * digest of all bytes. A complete table is sent, then all servers but a few drain in one iteration.
 * This guards against weights that are lost, repeated or sent in another order where a table is
 * divided, and against a wrong mark of a message that is not the last of its update.
 */
class LargeUpdateTranscriptTest {
  private static final long TURN_US = 500_000;
  private static final int TURNS = 12;
  private static final int FIRST_TURN_OF_DRAIN = 6;
  private static final int SERVERS_THAT_STAY = 3;
  private static final int MAX_WORD_LENGTH = 30;
  private static final List<String> ZONES = List.of("north", "south");

  @TempDir Path directory;

  /** The example with a channel that is wide enough for a complete table in one iteration. */
  private TranscriptSite start(int servers) throws Exception {
    ExampleConfig example =
        new ExampleConfig()
            .with("\"proxyCount\": 8", "\"proxyCount\": 2")
            .with("\"channelRate\": 3900.0", "\"channelRate\": 10000000.0")
            .with("\"mostWaiting\": 5900.0", "\"mostWaiting\": 10000000.0");
    TranscriptSite site = new TranscriptSite(example.read(directory), ZONES);
    for (int server = 0; server < servers; server++) {
      site.servers.put(
          "s" + server, new TranscriptSite.Listed(server % ZONES.size(), "in_service", 0));
    }
    site.begin();
    return site;
  }

  private static void drainAllButAFew(TranscriptSite site) {
    List.copyOf(site.servers.keySet()).stream()
        .skip(SERVERS_THAT_STAY)
        .forEach(server -> site.change(server, "terminating"));
  }

  private static void run(TranscriptSite site) throws Exception {
    site.join(0, true);
    site.join(1, false);
    for (int turn = 1; turn <= TURNS; turn++) {
      if (turn == FIRST_TURN_OF_DRAIN) {
        drainAllButAFew(site);
      }
      site.turn(TURN_US);
      site.answerMarks();
    }
  }

  private static String digest(byte[] bytes) throws Exception {
    return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
  }

  /** A word as it is, or the number of its entries and their ends. */
  private static String describe(String word) {
    if (word.length() <= MAX_WORD_LENGTH) {
      return word;
    }
    String[] entries = word.split(",");
    return "["
        + entries.length
        + " entries, "
        + entries[0]
        + " to "
        + entries[entries.length - 1]
        + ", "
        + word.length()
        + " characters]";
  }

  private static String describe(List<String> words) {
    return words.stream().map(LargeUpdateTranscriptTest::describe).collect(Collectors.joining(" "));
  }

  private static void describe(TranscriptSite.Sent sent, StringBuilder out) throws Exception {
    List<List<String>> messages = DecodedUpdate.parts(sent.bytes());
    out.append("== turn ")
        .append(sent.turn())
        .append(", proxy ")
        .append(sent.proxy())
        .append(", messages ")
        .append(messages.size())
        .append(", bytes ")
        .append(sent.bytes().length)
        .append(", sha256 ")
        .append(digest(sent.bytes()))
        .append('\n');
    messages.forEach(words -> out.append(describe(words)).append('\n'));
  }

  @ParameterizedTest
  @ValueSource(ints = {8191, 8192, 8193, 8195, 8196, 16384, 16385})
  void tablesOfManyServersAreDividedAsRecorded(int servers) throws Exception {
    TranscriptSite site = start(servers);
    run(site);
    StringBuilder out = new StringBuilder();
    for (TranscriptSite.Sent sent : site.sent) {
      describe(sent, out);
    }
    assertTrue(out.toString().contains(" whole 1 "), "a complete table");
    Recorded.check("updates-large-" + servers + ".txt", out.toString());
  }
}
