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
 * Compares all bytes that an assigner with a store sends to proxies with recorded ones, before and
 * after a restart on the same store. After the restart, proxies rejoin with their tables. Servers
 * drain, terminate and return before and after it. This guards against updates that differ because
 * of the store, and against updates after a restart that are incomplete, repeat weights or contain
 * a complete table.
 *
 * <p>At a start, stored servers are numbered in the order of an unordered map, which differs
 * between processes. The lists of servers sent after the restart are therefore sorted before the
 * comparison. Everything else, and all bytes before the restart, are compared byte by byte.
 */
class DurableUpdateTranscriptTest {
  private static final long ITERATION_US = 500_000;
  private static final long DOWNTIME_US = 2_000_000;
  private static final int SERVERS = 4;
  private static final int PROXIES = 3;
  private static final int ITERATIONS_BEFORE_RESTART = 14;
  private static final int ITERATIONS_AFTER_RESTART = 20;
  private static final List<String> ZONES = List.of("north", "south");

  /** Small log segments, so that the short run writes several. */
  private static final StoreOptions STORE_OPTIONS =
      new StoreOptions(StoreOptions.Policy.EACH, 0, 4000, 2000, 2, StoreOptions.Damage.REFUSE);

  @TempDir Path directory;

  private PersistenceOptions options() {
    return new PersistenceOptions(
        directory.resolve("store"), STORE_OPTIONS, 30_000_000, 5_000_000, 600_000_000);
  }

  private TranscriptHarness start() throws Exception {
    ExampleConfig example =
        new ExampleConfig()
            .with("\"throttleBy\": \"per_second\"", "\"throttleBy\": \"fraction\"")
            .with("\"proxyCount\": 8", "\"proxyCount\": " + PROXIES);
    TranscriptHarness harness =
        TranscriptHarness.durable(example.read(directory), ZONES, options());
    for (int server = 0; server < SERVERS; server++) {
      harness.servers.put(
          "s" + server, new TranscriptHarness.ListedServer(server % ZONES.size(), "in_service", 0));
    }
    harness.start();
    return harness;
  }

  /** Reports load: the latency of the first server grows with each iteration. */
  private static void report(TranscriptHarness harness, int iteration) throws Exception {
    for (String server : List.copyOf(harness.servers.keySet())) {
      for (String zone : ZONES) {
        int meanMs = server.equals("s0") ? 100 + 20 * iteration : 60;
        harness.deliverReport(
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

  private static void finishIteration(
      TranscriptHarness harness, int iteration, boolean isAcknowledged) throws Exception {
    report(harness, iteration);
    harness.runIteration(ITERATION_US);
    if (isAcknowledged) {
      harness.acknowledgeUpdates();
    }
  }

  /** Joins all proxies and rejoins one; the updates of the last iterations stay unacknowledged. */
  private static void runBeforeRestart(TranscriptHarness harness) throws Exception {
    for (int iteration = 1; iteration <= ITERATIONS_BEFORE_RESTART; iteration++) {
      if (iteration <= PROXIES) {
        harness.joinProxy(iteration - 1, true);
      } else if (iteration == 6) {
        harness.disconnectProxy(0);
        harness.changeServer("s1", "terminating");
      } else if (iteration == 8) {
        harness.joinProxy(0, false);
      } else if (iteration == ITERATIONS_BEFORE_RESTART - 1) {
        harness.changeServer("s2", "terminating");
      }
      finishIteration(harness, iteration, iteration < ITERATIONS_BEFORE_RESTART - 2);
    }
  }

  /** Rejoins all proxies, one without its table; one drained server terminates, one returns. */
  private static void runAfterRestart(TranscriptHarness harness) throws Exception {
    for (int iteration = 1; iteration <= ITERATIONS_AFTER_RESTART; iteration++) {
      if (iteration <= PROXIES) {
        harness.joinProxy(iteration - 1, iteration == PROXIES);
      } else if (iteration == 5) {
        harness.changeServer("s1", "terminated");
      } else if (iteration == 7) {
        harness.changeServer("s2", "in_service");
      } else if (iteration == 12) {
        harness.changeServer("s3", "terminating");
      }
      finishIteration(harness, ITERATIONS_BEFORE_RESTART + iteration, true);
    }
  }

  private static String sortEntries(String value) {
    return value.contains(",")
        ? Arrays.stream(value.split(",")).sorted().collect(Collectors.joining(","))
        : value;
  }

  /** Sorts the entries of each list of servers, which does not change its length. */
  private static String sortServers(String text) {
    return Arrays.stream(text.split("\r\n", -1))
        .map(DurableUpdateTranscriptTest::sortEntries)
        .collect(Collectors.joining("\r\n"));
  }

  private static void describe(
      TranscriptHarness.SentUpdate update, String text, StringBuilder out) {
    out.append("== turn ")
        .append(update.iteration())
        .append(", proxy ")
        .append(update.proxy())
        .append('\n')
        .append(Recorded.lines(text))
        .append('\n');
  }

  @Test
  void updatesBeforeAndAfterARestartAreTheRecordedBytes() throws Exception {
    TranscriptHarness first = start();
    runBeforeRestart(first);
    TranscriptHarness second = first.restart(options(), DOWNTIME_US);
    second.start();
    runAfterRestart(second);
    second.closeStore();
    StringBuilder out = new StringBuilder("before the restart\n");
    first.sentUpdates.forEach(update -> describe(update, update.text(), out));
    out.append("after the restart\n");
    second.sentUpdates.forEach(update -> describe(update, sortServers(update.text()), out));
    assertTrue(
        second.sentUpdates.size() > PROXIES,
        "too few updates after the restart: " + second.sentUpdates.size());
    Recorded.check("updates-durable-run.txt", out.toString());
  }
}
