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
 * The datagrams between two assigners of one tier, without sockets, as they were recorded. The real
 * policy sends none and takes nothing from those that it is sent: both are recorded and checked
 * here, with the updates that the proxies of each assigner get. For the way of a datagram through
 * the controller, a policy of the test sends some, whose bytes and effect are recorded.
 *
 * <p>This guards against datagrams that a policy begins to send or to obey unnoticed, and against
 * bytes, numbers of peers or an order that change on the way through the controller.
 */
class PeerDatagramTranscriptTest {
  private static final long TURN_US = 500_000;
  private static final int TURNS = 30;
  private static final int ASSIGNERS = 2;
  private static final long ALL_PEERS = 0xffffffffL;
  private static final List<String> ZONES = List.of("north", "south");

  /** The bodies that an assigner is sent: none, one byte, text and the longest. */
  private static final List<byte[]> BODIES =
      List.of(
          new byte[0], new byte[] {1}, "s1 out".getBytes(StandardCharsets.US_ASCII), new byte[256]);

  @TempDir Path directory;
  private final List<String> datagrams = new ArrayList<>();
  private final List<TranscriptSite> sites = new ArrayList<>();
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

  /** Records a datagram, a line each with the number of its iteration. */
  private void record(int from, int to, byte[] body) {
    String hex = HexFormat.of().formatHex(body);
    datagrams.add("iteration " + iteration + ", from " + from + " to " + to + ": " + hex);
  }

  private TranscriptSite startSite(int assigner) throws Exception {
    AssignerConfig config = config(assigner);
    assertTrue(config.settings().peersEnabled(), "datagrams are allowed");
    assertEquals(ASSIGNERS, config.peers().assigners().size(), "addresses of assigners");
    TranscriptSite site =
        new TranscriptSite(
            config,
            ZONES,
            (peer, body) -> {
              record(assigner, peer, body);
              sites.get(1 - assigner).deliver(assigner, body);
            });
    for (int server = 0; server < 5; server++) {
      site.servers.put(
          "s" + server, new TranscriptSite.Listed(server % ZONES.size(), "in_service", 0));
    }
    return site;
  }

  /** Each assigner has two proxies, of which one moves from the first assigner to the second. */
  private void changeProxies() throws Exception {
    if (iteration <= 2) {
      sites.get(0).join(iteration - 1, true);
      sites.get(1).join(iteration + 1, false);
    } else if (iteration == 14) {
      sites.get(0).leave(1);
    } else if (iteration == 15) {
      sites.get(1).join(1, false);
    }
  }

  private static void report(TranscriptSite site, int turn) throws Exception {
    for (String server : List.copyOf(site.servers.keySet())) {
      boolean isFaulty = server.equals("s2") && turn > 8 && turn < 14;
      site.report(
          "heard zone north server "
              + server
              + " tries 60 failed "
              + (isFaulty ? 55 : 0)
              + " mean_ms 80 span_ms 1000.0 load util:0.5,inflight:20");
    }
  }

  private void runIteration(TranscriptSite site) throws Exception {
    if (iteration == 6) {
      site.change("s1", "terminating");
    } else if (iteration == 18) {
      site.change("s1", "in_service");
    }
    report(site, iteration);
    site.turn(TURN_US);
    site.answerMarks();
  }

  /** Runs both assigners with the real policy; before each iteration, a test may send datagrams. */
  private void run(BiConsumer<Integer, TranscriptSite> beforeIteration) throws Exception {
    sites.clear();
    for (int assigner = 0; assigner < ASSIGNERS; assigner++) {
      sites.add(startSite(assigner));
    }
    iteration = 0;
    for (TranscriptSite site : sites) {
      site.begin();
    }
    for (iteration = 1; iteration <= TURNS; iteration++) {
      changeProxies();
      for (int assigner = 0; assigner < ASSIGNERS; assigner++) {
        beforeIteration.accept(assigner, sites.get(assigner));
        runIteration(sites.get(assigner));
      }
    }
  }

  private void describeUpdates(StringBuilder out) {
    for (int assigner = 0; assigner < ASSIGNERS; assigner++) {
      for (TranscriptSite.Sent sent : sites.get(assigner).sent) {
        out.append("== assigner ")
            .append(assigner)
            .append(", turn ")
            .append(sent.turn())
            .append(", proxy ")
            .append(sent.proxy())
            .append('\n')
            .append(Recorded.lines(sent.text()))
            .append('\n');
      }
    }
  }

  @Test
  void assignersWithTheRealPolicySendTheRecordedDatagramsAndUpdates() throws Exception {
    run((assigner, site) -> {});
    StringBuilder out = new StringBuilder("datagrams " + datagrams.size() + "\n");
    datagrams.forEach(datagram -> out.append(datagram).append('\n'));
    describeUpdates(out);
    Recorded.check("peer-datagrams-of-policy.txt", out.toString());
  }

  @Test
  void datagramsOfAPeerChangeNoUpdateOfTheRealPolicy() throws Exception {
    run((assigner, site) -> {});
    List<byte[]> without = sites.stream().map(TranscriptSite::transcript).toList();
    run(
        (assigner, site) ->
            BODIES.forEach(body -> site.deliver(ASSIGNERS - 1 - assigner, body.clone())));
    for (int assigner = 0; assigner < ASSIGNERS; assigner++) {
      byte[] with = sites.get(assigner).transcript();
      assertTrue(with.length > 0, "assigner " + assigner + " sent updates");
      assertArrayEquals(without.get(assigner), with, "updates of assigner " + assigner);
    }
  }

  /** An assigner whose datagrams the other one is given in its next iteration. */
  private Controller startScripted(int assigner, ScriptedPolicy policy, List<Controller> all)
      throws Exception {
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
          all.get(1 - assigner).onPeerMessage(assigner, body);
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

  /** Commands of the first assigner in iterations 1 to 3, and an answer of the second one. */
  private static void command(int iteration, List<ScriptedPolicy> policies) {
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
  void commandedDatagramsHaveTheRecordedBytesAndEffect() throws Exception {
    List<ScriptedPolicy> policies = List.of(new ScriptedPolicy(), new ScriptedPolicy());
    List<Controller> controllers = new ArrayList<>();
    for (int assigner = 0; assigner < ASSIGNERS; assigner++) {
      controllers.add(startScripted(assigner, policies.get(assigner), controllers));
    }
    StringBuilder out = new StringBuilder();
    for (iteration = 1; iteration <= 4; iteration++) {
      command(iteration, policies);
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
