package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pearusher.Recorded;
import pearusher.control.PersistenceOptions;
import pearusher.store.StoreOptions;

/**
 * All bytes that proxies are sent by an assigner with a store, as they were recorded: over a first
 * process, and over a second one on the same store, at which proxies rejoin with the tables that
 * they hold. Servers drain, go and come back before and after the restart. This guards against
 * updates that differ because of the store, and against a catch-up after a restart that lacks
 * something, repeats it or turns into a complete table.
 *
 * <p>A start takes the stored servers from an unordered map, whose order differs from process to
 * process, and numbers them in that order. Lists of servers are therefore sorted in what the second
 * process sends; all else is compared byte by byte, and every byte of the first process.
 */
class DurableUpdateTranscriptTest {
  private static final long TURN_US = 500_000;
  private static final long RESTART_US = 2_000_000;
  private static final int SERVERS = 4;
  private static final int PROXIES = 3;
  private static final int TURNS_BEFORE_RESTART = 14;
  private static final int TURNS_AFTER_RESTART = 20;
  private static final List<String> ZONES = List.of("north", "south");

  /** Small segments, so that the short run has several. */
  private static final StoreOptions STORE_OPTIONS =
      new StoreOptions(StoreOptions.Policy.EACH, 0, 4000, 2000, 2, StoreOptions.Damage.REFUSE);

  @TempDir Path directory;

  private PersistenceOptions options() {
    return new PersistenceOptions(
        directory.resolve("store"), STORE_OPTIONS, 30_000_000, 5_000_000, 600_000_000);
  }

  private TranscriptSite start() throws Exception {
    ExampleConfig example =
        new ExampleConfig()
            .with("\"throttleBy\": \"per_second\"", "\"throttleBy\": \"fraction\"")
            .with("\"proxyCount\": 8", "\"proxyCount\": " + PROXIES);
    TranscriptSite site = TranscriptSite.durable(example.read(directory), ZONES, options());
    for (int server = 0; server < SERVERS; server++) {
      site.servers.put(
          "s" + server, new TranscriptSite.Listed(server % ZONES.size(), "in_service", 0));
    }
    site.begin();
    return site;
  }

  /** Reports of collectors: the first server is slow, and slower from turn to turn. */
  private static void report(TranscriptSite site, int turn) throws Exception {
    for (String server : List.copyOf(site.servers.keySet())) {
      for (String zone : ZONES) {
        int meanMs = server.equals("s0") ? 100 + 20 * turn : 60;
        site.report(
            "heard zone "
                + zone
                + " server "
                + server
                + " tries 40 failed 1 mean_ms "
                + meanMs
                + " span_ms 1000.0 load util:0.5,inflight:20");
      }
    }
  }

  private static void endTurn(TranscriptSite site, int turn, boolean isAnswered) throws Exception {
    report(site, turn);
    site.turn(TURN_US);
    if (isAnswered) {
      site.answerMarks();
    }
  }

  /** Proxies join, one of them again; what they are sent last they do not acknowledge. */
  private static void runBeforeRestart(TranscriptSite site) throws Exception {
    for (int turn = 1; turn <= TURNS_BEFORE_RESTART; turn++) {
      if (turn <= PROXIES) {
        site.join(turn - 1, true);
      } else if (turn == 6) {
        site.leave(0);
        site.change("s1", "terminating");
      } else if (turn == 8) {
        site.join(0, false);
      } else if (turn == TURNS_BEFORE_RESTART - 1) {
        site.change("s2", "terminating");
      }
      endTurn(site, turn, turn < TURNS_BEFORE_RESTART - 2);
    }
  }

  /** Proxies rejoin with their tables, but one without; the drained servers go and come back. */
  private static void runAfterRestart(TranscriptSite site) throws Exception {
    for (int turn = 1; turn <= TURNS_AFTER_RESTART; turn++) {
      if (turn <= PROXIES) {
        site.join(turn - 1, turn == PROXIES);
      } else if (turn == 5) {
        site.change("s1", "terminated");
      } else if (turn == 7) {
        site.change("s2", "in_service");
      } else if (turn == 12) {
        site.change("s3", "terminating");
      }
      endTurn(site, TURNS_BEFORE_RESTART + turn, true);
    }
  }

  private static String sorted(String word) {
    return word.contains(",")
        ? Arrays.stream(word.split(",")).sorted().collect(Collectors.joining(","))
        : word;
  }

  /** Sorts the servers of each list; a list keeps its length. */
  private static String withSortedServers(String text) {
    return Arrays.stream(text.split("\r\n", -1))
        .map(DurableUpdateTranscriptTest::sorted)
        .collect(Collectors.joining("\r\n"));
  }

  private static void describe(TranscriptSite.Sent sent, String text, StringBuilder out) {
    out.append("== turn ")
        .append(sent.turn())
        .append(", proxy ")
        .append(sent.proxy())
        .append('\n')
        .append(Recorded.lines(text))
        .append('\n');
  }

  @Test
  void aRunWithAStoreAndARestartSendsTheRecordedBytes() throws Exception {
    TranscriptSite first = start();
    runBeforeRestart(first);
    TranscriptSite second = first.restart(options(), RESTART_US);
    second.begin();
    runAfterRestart(second);
    second.end();
    StringBuilder out = new StringBuilder("before the restart\n");
    first.sent.forEach(sent -> describe(sent, sent.text(), out));
    out.append("after the restart\n");
    second.sent.forEach(sent -> describe(sent, withSortedServers(sent.text()), out));
    assertTrue(second.sent.size() > PROXIES, "the second process sent updates");
    Recorded.check("updates-durable-run.txt", out.toString());
  }
}
