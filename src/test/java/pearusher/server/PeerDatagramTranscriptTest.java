package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pearusher.Recorded;
import pearusher.config.AssignerConfig;
import pearusher.control.Controller;
import pearusher.control.OutboundCalls;
import pearusher.control.ScriptedPolicy;

/**
 * Compares the datagrams between two assigners of one tier, without sockets, with recorded ones.
 * The real policy sends no datagrams and ignores received ones; the test checks both, and the
 * updates to the proxies of each assigner. A scripted policy sends datagrams to check their path
 * through the controller.
 *
 * <p>This guards against a policy that unintentionally sends datagrams or reacts to them, and
 * against changes of bytes, peer numbers or order on the way through the controller.
 */
class PeerDatagramTranscriptTest {
  private static final long ITERATION_US = 500_000;
  private static final int ITERATIONS = 30;
  private static final int ASSIGNERS = 2;
  private static final long ALL_PEERS = 0xffffffffL;
  private static final List<String> ZONES = List.of("north", "south");

  /** Bodies of received datagrams: empty, one byte, text, and the maximum length. */
  private static final List<byte[]> BODIES =
      List.of(
          new byte[0], new byte[] {1}, "s1 out".getBytes(StandardCharsets.US_ASCII), new byte[256]);

  @TempDir Path directory;
  private final List<String> datagrams = new ArrayList<>();
  private final List<TranscriptHarness> harnesses = new ArrayList<>();
  private int iteration;

  private AssignerConfig config(int assigner) throws Exception {
    return new ExampleConfig()
        .with("\"replicasOfMe\": 1", "\"replicasOfMe\": " + ASSIGNERS)
        .with("\"myNumber\": 0", "\"myNumber\": " + assigner)
        .with("\"peers\": [\"127.0.0.1:0\"]", "\"peers\": [\"127.0.0.1:1\", \"127.0.0.1:2\"]")
        .with("\"throttleBy\": \"per_second\"", "\"throttleBy\": \"fraction\"")
        .with("\"proxyCount\": 8", "\"proxyCount\": 4")
        .read(directory);
  }

  /** Records a datagram as a line with the number of the iteration. */
  private void record(int from, int to, byte[] body) {
    String hex = HexFormat.of().formatHex(body);
    datagrams.add("iteration " + iteration + ", from " + from + " to " + to + ": " + hex);
  }

  private TranscriptHarness createHarness(int assigner) throws Exception {
    AssignerConfig config = config(assigner);
    assertTrue(config.settings().peersEnabled(), "datagrams are disabled");
    assertEquals(ASSIGNERS, config.peers().assigners().size(), "number of assigner addresses");
    TranscriptHarness harness =
        new TranscriptHarness(
            config,
            ZONES,
            (peer, body) -> {
              record(assigner, peer, body);
              harnesses.get(1 - assigner).deliverDatagram(assigner, body);
            });
    for (int server = 0; server < 5; server++) {
      harness.servers.put(
          "s" + server, new TranscriptHarness.ListedServer(server % ZONES.size(), "in_service", 0));
    }
    return harness;
  }

  /** Joins two proxies to each assigner, and later moves one from the first to the second. */
  private void changeProxies() throws Exception {
    if (iteration <= 2) {
      harnesses.get(0).joinProxy(iteration - 1, true);
      harnesses.get(1).joinProxy(iteration + 1, false);
    } else if (iteration == 14) {
      harnesses.get(0).disconnectProxy(1);
    } else if (iteration == 15) {
      harnesses.get(1).joinProxy(1, false);
    }
  }

  private static void report(TranscriptHarness harness, int iteration) throws Exception {
    for (String server : List.copyOf(harness.servers.keySet())) {
      boolean isFaulty = server.equals("s2") && iteration > 8 && iteration < 14;
      harness.deliverReport(
          "heard zone north server "
              + server
              + " tries 60 failed "
              + (isFaulty ? 55 : 0)
              + " mean_ms 80 span_ms 1000.0 load util:0.5,inflight:20");
    }
  }

  private void runIteration(TranscriptHarness harness) throws Exception {
    if (iteration == 6) {
      harness.changeServer("s1", "terminating");
    } else if (iteration == 18) {
      harness.changeServer("s1", "in_service");
    }
    report(harness, iteration);
    harness.runIteration(ITERATION_US);
    harness.acknowledgeUpdates();
  }

  /**
   * Runs both assigners with the real policy.
   *
   * @param beforeIteration called before each iteration of an assigner with its number and harness
   */
  private void run(BiConsumer<Integer, TranscriptHarness> beforeIteration) throws Exception {
    harnesses.clear();
    for (int assigner = 0; assigner < ASSIGNERS; assigner++) {
      harnesses.add(createHarness(assigner));
    }
    iteration = 0;
    for (TranscriptHarness harness : harnesses) {
      harness.start();
    }
    for (iteration = 1; iteration <= ITERATIONS; iteration++) {
      changeProxies();
      for (int assigner = 0; assigner < ASSIGNERS; assigner++) {
        beforeIteration.accept(assigner, harnesses.get(assigner));
        runIteration(harnesses.get(assigner));
      }
    }
  }

  private void describeUpdates(StringBuilder out) {
    for (int assigner = 0; assigner < ASSIGNERS; assigner++) {
      for (TranscriptHarness.SentUpdate update : harnesses.get(assigner).sentUpdates) {
        out.append("== assigner ")
            .append(assigner)
            .append(", turn ")
            .append(update.iteration())
            .append(", proxy ")
            .append(update.proxy())
            .append('\n')
            .append(Recorded.lines(update.text()))
            .append('\n');
      }
    }
  }

  @Test
  void realPolicySendsTheRecordedDatagramsAndUpdates() throws Exception {
    run((assigner, harness) -> {});
    StringBuilder out = new StringBuilder("datagrams " + datagrams.size() + "\n");
    datagrams.forEach(datagram -> out.append(datagram).append('\n'));
    describeUpdates(out);
    Recorded.check("peer-datagrams-of-policy.txt", out.toString());
  }

  @Test
  void receivedDatagramsDoNotChangeUpdatesOfTheRealPolicy() throws Exception {
    run((assigner, harness) -> {});
    List<byte[]> without = harnesses.stream().map(TranscriptHarness::transcript).toList();
    run(
        (assigner, harness) ->
            BODIES.forEach(
                body -> harness.deliverDatagram(ASSIGNERS - 1 - assigner, body.clone())));
    for (int assigner = 0; assigner < ASSIGNERS; assigner++) {
      byte[] with = harnesses.get(assigner).transcript();
      assertTrue(with.length > 0, "assigner " + assigner + " sent no updates");
      assertArrayEquals(without.get(assigner), with, "updates of assigner " + assigner);
    }
  }

  /** Starts an assigner whose datagrams the other assigner receives in its next iteration. */
  private Controller startScripted(
      int assigner, ScriptedPolicy policy, List<Controller> controllers) throws Exception {
    Controller controller =
        new Controller(config(assigner), policy, () -> 1_000_000L * iteration, failure -> {}) {
          @Override
          public void awaitTick() {}
        };
    policy.setController(controller);
    controller.connect(
        new NoOutboundCalls(),
        (peer, body) -> {
          record(assigner, peer, body);
          controllers.get(1 - assigner).onPeerMessage(assigner, body);
        });
    controller.start();
    policy.events.clear();
    return controller;
  }

  private static final class NoOutboundCalls implements OutboundCalls {
    @Override
    public void watchEndpoints(boolean isOn, long sinceGeneration) {}

    @Override
    public void fetchEndpoints() {}

    @Override
    public void checkHealth(long server, String hostPort) {}
  }

  private static byte[] countingBytes(int length) {
    byte[] bytes = new byte[length];
    for (int position = 0; position < length; position++) {
      bytes[position] = (byte) position;
    }
    return bytes;
  }

  /** Commands datagrams of the first assigner in iterations 1 to 3, and one of the second in 3. */
  private static void commandDatagrams(int iteration, List<ScriptedPolicy> policies) {
    if (iteration == 1) {
      policies.get(0).command(commands -> commands.sendToPeer(1, countingBytes(256)));
    } else if (iteration == 2) {
      policies
          .get(0)
          .command(
              commands -> {
                commands.sendToPeer(1, new byte[0]);
                commands.sendToPeer(ALL_PEERS, new byte[] {-1, 0, 127, -128});
              });
    } else if (iteration == 3) {
      policies.get(0).command(commands -> commands.sendToPeer(7, new byte[] {13, 10}));
      policies.get(1).command(commands -> commands.sendToPeer(0, new byte[] {42}));
    }
  }

  @Test
  void commandedDatagramsHaveTheRecordedBytesAndEvents() throws Exception {
    List<ScriptedPolicy> policies = List.of(new ScriptedPolicy(), new ScriptedPolicy());
    List<Controller> controllers = new ArrayList<>();
    for (int assigner = 0; assigner < ASSIGNERS; assigner++) {
      controllers.add(startScripted(assigner, policies.get(assigner), controllers));
    }
    StringBuilder out = new StringBuilder();
    for (iteration = 1; iteration <= 4; iteration++) {
      commandDatagrams(iteration, policies);
      for (int assigner = 0; assigner < ASSIGNERS; assigner++) {
        controllers.get(assigner).execute(() -> {});
        controllers.get(assigner).runIteration();
        for (String event : policies.get(assigner).events) {
          out.append("iteration " + iteration + ", at " + assigner + ": " + event + "\n");
        }
        policies.get(assigner).events.clear();
      }
    }
    datagrams.forEach(datagram -> out.append(datagram).append('\n'));
    Recorded.check("peer-datagrams-commanded.txt", out.toString());
  }
}
