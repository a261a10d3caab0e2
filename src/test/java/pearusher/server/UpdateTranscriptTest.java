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
 * All bytes that the real module orders for each proxy over several dozen periods, as they were
 * recorded: a digest of long runs, and the bytes of a short one. Servers drain, go and come back,
 * proxies leave and join anew, and for a while there are more requests than the servers can serve.
 */
class UpdateTranscriptTest {
  private static final long TURN_US = 500_000;
  private static final List<String> CLASSES = List.of("lookup", "order", "bulk");

  /** How large a site is, and how long it runs. */
  private record Size(List<String> zones, int servers, int proxies, int turns) {}

  private static final Size SHORT = new Size(List.of("north", "south"), 3, 2, 16);
  private static final Size SMALL = new Size(List.of("north", "south"), 5, 4, 140);
  private static final Size LONG = new Size(List.of("north", "south", "east"), 14, 12, 140);

  @TempDir Path dir;

  /** The example with three classes and the zones and proxies of a size. */
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

  private TranscriptSite play(ExampleConfig example, Size size, long seed) throws Exception {
    TranscriptSite site = new TranscriptSite(example.read(dir), size.zones());
    for (int k = 0; k < size.servers(); k++) {
      site.servers.put(
          "s" + k, new TranscriptSite.Listed(k % size.zones().size(), "in_service", 0));
    }
    site.begin();
    Random random = new Random(seed);
    for (int turn = 0; turn < size.turns(); turn++) {
      if (turn < size.proxies()) {
        site.join(turn, turn % 3 != 0);
      }
      changeServers(site, size, turn);
      changeProxies(site, size, turn);
      report(site, size, turn, random);
      if (turn % 2 == 1) {
        site.answerMarks();
      }
      site.turn(TURN_US);
    }
    return site;
  }

  /** Drains, ends, returns and a new server, at shares of the run's length. */
  private static void changeServers(TranscriptSite site, Size size, int turn) {
    int percent = percent(size, turn);
    if (percent == 25) {
      site.change("s1", "terminating");
    } else if (percent == 40) {
      site.change("s1", "terminated");
    } else if (percent == 50) {
      site.servers.put("s" + size.servers(), new TranscriptSite.Listed(0, "in_service", 0));
      site.change("s" + size.servers(), "in_service");
    } else if (percent == 55) {
      site.change("s2", "terminating");
    } else if (percent == 75) {
      site.change("s2", "in_service");
    }
  }

  /** Leavings, joinings with and without a table, and a stream that takes the place of another. */
  private static void changeProxies(TranscriptSite site, Size size, int turn) throws Exception {
    int percent = percent(size, turn);
    if (percent == 45) {
      site.leave(0);
    } else if (percent == 51) {
      site.join(0, false);
    } else if (percent == 70) {
      site.leave(1);
    } else if (percent == 76) {
      site.join(1, true);
    } else if (percent == 81) {
      site.join(0, false);
    }
  }

  /** The share of the run that is over, in the first turn that has reached it; else -1. */
  private static int percent(Size size, int turn) {
    for (int percent : new int[] {25, 40, 45, 50, 51, 55, 70, 75, 76, 81}) {
      if (turn == (percent * size.turns() + 99) / 100) {
        return percent;
      }
    }
    return -1;
  }

  private static int failedAttempts(int attempts, boolean overload, boolean faulty) {
    if (overload) {
      return attempts / 2;
    }
    return faulty ? attempts - 1 : 0;
  }

  /** Reports of collectors: server s0 fails for a while, and later all are slow and many fail. */
  private static void report(TranscriptSite site, Size size, int turn, Random random)
      throws Exception {
    boolean overload = turn * 100 > 58 * size.turns() && turn * 100 < 72 * size.turns();
    boolean faulty = turn * 100 > 15 * size.turns() && turn * 100 < 24 * size.turns();
    for (String server : turn % 2 == 0 ? List.copyOf(site.servers.keySet()) : List.<String>of()) {
      for (String zone : size.zones()) {
        int tries = 20 + random.nextInt(60);
        int failed = failedAttempts(tries, overload, faulty && server.equals("s0"));
        int mean = overload ? 1500 : 50 + random.nextInt(40);
        site.report(
            "heard zone "
                + zone
                + " server "
                + server
                + " tries "
                + tries
                + " failed "
                + failed
                + " mean_ms "
                + mean
                + " span_ms 1000.0 load util:0."
                + random.nextInt(10)
                + ",inflight:"
                + random.nextInt(40));
      }
    }
    for (int proxy : site.joined()) {
      String grade = CLASSES.get((proxy + turn) % CLASSES.size());
      int tries = overload ? 400 + random.nextInt(100) : 20 + random.nextInt(20);
      site.report(
          "usage proxy "
              + proxy
              + " class "
              + grade
              + " tries "
              + tries
              + " failed "
              + (overload ? tries / 3 : 0)
              + " span_ms 1500.0");
    }
  }

  private static int count(TranscriptSite site, String word) {
    return (int)
        site.sent.stream().filter(sent -> sent.text().contains("\r\n" + word + "\r\n")).count();
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
  void aLongRunSendsTheRecordedBytes(String name) throws Exception {
    TranscriptSite site = play(scenario(name), size(name), 20_261_203);
    Map<String, String> facts = new TreeMap<>();
    byte[] transcript = site.transcript();
    facts.put("messages", Integer.toString(site.sent.size()));
    facts.put("bytes", Integer.toString(transcript.length));
    for (String word : List.of("whole", "lines", "level", "out", "back", "ticket", "more")) {
      facts.put("messages with " + word, Integer.toString(count(site, word)));
    }
    facts.put(
        "sha256",
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(transcript)));
    for (String word : List.of("whole", "lines", "out", "back", "ticket")) {
      assertTrue(count(site, word) > 0, "no message has " + word + ": " + facts);
    }
    StringBuilder out = new StringBuilder();
    facts.forEach((key, value) -> out.append(key).append(" = ").append(value).append('\n'));
    Recorded.check("updates-" + name + ".txt", out.toString());
  }

  @Test
  void aShortRunSendsTheRecordedBytesInFull() throws Exception {
    TranscriptSite site =
        play(
            example(SHORT).with("\"throttleBy\": \"per_second\"", "\"throttleBy\": \"fraction\""),
            SHORT,
            7);
    StringBuilder out = new StringBuilder();
    for (TranscriptSite.Sent sent : site.sent) {
      out.append("== turn ")
          .append(sent.turn())
          .append(", proxy ")
          .append(sent.proxy())
          .append('\n')
          .append(Recorded.lines(sent.text()))
          .append('\n');
    }
    Recorded.check("updates-short-run.txt", out.toString());
  }
}
