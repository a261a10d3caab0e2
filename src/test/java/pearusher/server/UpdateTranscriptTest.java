package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pearusher.Recorded;

/**
 * Compares all bytes that the real policy sends to each proxy over dozens of control periods with
 * recorded ones: a digest for long runs, and the bytes of a short run. Servers drain, terminate and
 * return, proxies leave and rejoin, and requests exceed the capacity of the servers for a while.
 * This guards against unintended changes of the updates that proxies receive.
 */
class UpdateTranscriptTest {
  private static final long ITERATION_US = 500_000;
  private static final List<String> CLASSES = List.of("lookup", "order", "bulk");

  /** Size of a simulated site, and the number of iterations of a run. */
  private record Size(List<String> zones, int servers, int proxies, int iterations) {}

  private static final Size SHORT = new Size(List.of("north", "south"), 3, 2, 16);
  private static final Size SMALL = new Size(List.of("north", "south"), 5, 4, 140);
  private static final Size LONG = new Size(List.of("north", "south", "east"), 14, 12, 140);

  @TempDir Path dir;

  /** Returns the example configuration with three classes and the zones and proxies of a size. */
  private static ExampleConfig example(Size size) throws Exception {
    return new ExampleConfig()
        .with(
            "\"azs\": [\"north\", \"south\"]",
            "\"azs\": [\"" + String.join("\", \"", size.zones()) + "\"]")
        .with(
            "\"repeat\": \"fragile\", \"group\": \"all\", \"windowUs\": 5000000}",
            "\"repeat\": \"fragile\", \"group\": \"all\", \"windowUs\": 5000000},"
                + " {\"name\": \"bulk\","
                + " \"promiseUs\": 2000000, \"deadlineUs\": 4000000, \"worth\": 0.5,"
                + " \"lateWorth\": 0.1, \"repeat\": \"dedup\", \"group\": \"all\","
                + " \"windowUs\": 5000000}")
        .with("\"classOwnZone\": [false, false]", "\"classOwnZone\": [false, false, false]")
        .with("\"writeClasses\": [false, true]", "\"writeClasses\": [false, true, false]")
        .with("\"proxyCount\": 8", "\"proxyCount\": " + size.proxies());
  }

  private static Size size(String name) {
    return name.equals("small-site") ? SMALL : LONG;
  }

  private static ExampleConfig scenario(String name) throws Exception {
    ExampleConfig example = example(size(name));
    return switch (name) {
      case "requests-a-second" -> example;
      case "shares", "small-site" ->
          example.with("\"throttleBy\": \"per_second\"", "\"throttleBy\": \"fraction\"");
      case "no-levels" ->
          example
              .with("\"throttleBy\": \"per_second\"", "\"throttleBy\": \"off\"")
              .with("\"discovery\": \"on_request\"", "\"discovery\": \"pushed\"")
              .with("\"weightKind\": \"off\"", "\"weightKind\": \"weighted\"");
      case "narrow-channel" ->
          example
              .with("\"messagesMost\": 0", "\"messagesMost\": 20")
              .with("\"throttleBy\": \"per_second\"", "\"throttleBy\": \"fraction\"")
              .with("\"channelRate\": 3900.0", "\"channelRate\": 400.0")
              .with("\"mostWaiting\": 5900.0", "\"mostWaiting\": 1200.0");
      case "own-zone-class" ->
          example
              .with(
                  "\"classOwnZone\": [false, false, false]",
                  "\"classOwnZone\": [true, false, false]")
              .with("\"zonal\": false", "\"zonal\": true")
              .with("\"pick\": \"random\"", "\"pick\": \"p2c\"");
      default -> throw new IllegalArgumentException(name);
    };
  }

  private TranscriptHarness run(ExampleConfig example, Size size, long seed) throws Exception {
    TranscriptHarness harness = new TranscriptHarness(example.read(dir), size.zones());
    for (int k = 0; k < size.servers(); k++) {
      harness.servers.put(
          "s" + k, new TranscriptHarness.ListedServer(k % size.zones().size(), "in_service", 0));
    }
    harness.start();
    Random random = new Random(seed);
    for (int iteration = 0; iteration < size.iterations(); iteration++) {
      if (iteration < size.proxies()) {
        harness.joinProxy(iteration, iteration % 3 != 0);
      }
      changeServers(harness, size, iteration);
      changeProxies(harness, size, iteration);
      report(harness, size, iteration, random);
      if (iteration % 2 == 1) {
        harness.acknowledgeUpdates();
      }
      harness.runIteration(ITERATION_US);
    }
    return harness;
  }

  /** Drains, terminates, restarts and adds servers at fixed percentages of the run. */
  private static void changeServers(TranscriptHarness harness, Size size, int iteration) {
    int percent = percentReached(size, iteration);
    if (percent == 25) {
      harness.changeServer("s1", "terminating");
    } else if (percent == 40) {
      harness.changeServer("s1", "terminated");
    } else if (percent == 50) {
      harness.servers.put(
          "s" + size.servers(), new TranscriptHarness.ListedServer(0, "in_service", 0));
      harness.changeServer("s" + size.servers(), "in_service");
    } else if (percent == 55) {
      harness.changeServer("s2", "terminating");
    } else if (percent == 75) {
      harness.changeServer("s2", "in_service");
    }
  }

  /** Disconnects proxies, rejoins them with and without a table, and replaces a stream. */
  private static void changeProxies(TranscriptHarness harness, Size size, int iteration)
      throws Exception {
    int percent = percentReached(size, iteration);
    if (percent == 45) {
      harness.disconnectProxy(0);
    } else if (percent == 51) {
      harness.joinProxy(0, false);
    } else if (percent == 70) {
      harness.disconnectProxy(1);
    } else if (percent == 76) {
      harness.joinProxy(1, true);
    } else if (percent == 81) {
      harness.joinProxy(0, false);
    }
  }

  /** Returns the percentage that is first reached in this iteration; -1 if there is none. */
  private static int percentReached(Size size, int iteration) {
    for (int percent : new int[] {25, 40, 45, 50, 51, 55, 70, 75, 76, 81}) {
      if (iteration == (percent * size.iterations() + 99) / 100) {
        return percent;
      }
    }
    return -1;
  }

  private static int failedAttempts(int attempts, boolean isOverloaded, boolean isFaulty) {
    if (isOverloaded) {
      return attempts / 2;
    }
    return isFaulty ? attempts - 1 : 0;
  }

  /** Reports load and usage: server s0 fails for a while; later all servers are overloaded. */
  private static void report(TranscriptHarness harness, Size size, int iteration, Random random)
      throws Exception {
    boolean isOverloaded =
        iteration * 100 > 58 * size.iterations() && iteration * 100 < 72 * size.iterations();
    boolean isFaulty =
        iteration * 100 > 15 * size.iterations() && iteration * 100 < 24 * size.iterations();
    for (String server :
        iteration % 2 == 0 ? List.copyOf(harness.servers.keySet()) : List.<String>of()) {
      for (String zone : size.zones()) {
        int attempts = 20 + random.nextInt(60);
        int failed = failedAttempts(attempts, isOverloaded, isFaulty && server.equals("s0"));
        int meanMs = isOverloaded ? 1500 : 50 + random.nextInt(40);
        harness.deliverReport(
            "heard zone "
                + zone
                + " server "
                + server
                + " tries "
                + attempts
                + " failed "
                + failed
                + " mean_ms "
                + meanMs
                + " span_ms 1000.0 load util:0."
                + random.nextInt(10)
                + ",inflight:"
                + random.nextInt(40));
      }
    }
    for (int proxy : harness.connectedProxies()) {
      String requestClass = CLASSES.get((proxy + iteration) % CLASSES.size());
      int attempts = isOverloaded ? 400 + random.nextInt(100) : 20 + random.nextInt(20);
      harness.deliverReport(
          "usage proxy "
              + proxy
              + " class "
              + requestClass
              + " tries "
              + attempts
              + " failed "
              + (isOverloaded ? attempts / 3 : 0)
              + " span_ms 1500.0");
    }
  }

  private static int countMessages(TranscriptHarness harness, String fieldName) {
    return (int)
        harness.sentUpdates.stream()
            .filter(update -> update.text().contains("\r\n" + fieldName + "\r\n"))
            .count();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "requests-a-second",
        "shares",
        "no-levels",
        "narrow-channel",
        "own-zone-class",
        "small-site"
      })
  void longRunSendsTheRecordedBytes(String name) throws Exception {
    TranscriptHarness harness = run(scenario(name), size(name), 20_261_203);
    Map<String, String> summary = new TreeMap<>();
    byte[] transcript = harness.transcript();
    summary.put("messages", Integer.toString(harness.sentUpdates.size()));
    summary.put("bytes", Integer.toString(transcript.length));
    for (String word : List.of("whole", "lines", "level", "out", "back", "ticket", "more")) {
      summary.put("messages with " + word, Integer.toString(countMessages(harness, word)));
    }
    summary.put(
        "sha256",
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(transcript)));
    for (String word : List.of("whole", "lines", "out", "back", "ticket")) {
      assertTrue(countMessages(harness, word) > 0, "no message has " + word + ": " + summary);
    }
    StringBuilder out = new StringBuilder();
    summary.forEach((key, value) -> out.append(key).append(" = ").append(value).append('\n'));
    Recorded.check("updates-" + name + ".txt", out.toString());
  }

  @Test
  void shortRunSendsTheRecordedBytes() throws Exception {
    TranscriptHarness harness =
        run(
            example(SHORT).with("\"throttleBy\": \"per_second\"", "\"throttleBy\": \"fraction\""),
            SHORT,
            7);
    StringBuilder out = new StringBuilder();
    for (TranscriptHarness.SentUpdate update : harness.sentUpdates) {
      out.append("== turn ")
          .append(update.iteration())
          .append(", proxy ")
          .append(update.proxy())
          .append('\n')
          .append(Recorded.lines(update.text()))
          .append('\n');
    }
    Recorded.check("updates-short-run.txt", out.toString());
  }
}
