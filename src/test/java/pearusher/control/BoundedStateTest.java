package pearusher.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pearusher.config.AssignerConfig;
import pearusher.policy.FaastPolicy;
import pearusher.policy.Lifecycle;
import pearusher.protocol.Endpoint;
import pearusher.protocol.EndpointList;
import pearusher.protocol.Message;
import pearusher.protocol.RespException;
import pearusher.protocol.RespReader;
import pearusher.server.ExampleConfig;
import pearusher.server.TestPeers;

/**
 * Servers and proxies come and go by thousands through the exchange and the real module: counted,
 * not timed.
 */
class BoundedStateTest {
  private static final int SERVERS = 6;
  private static final int PROXIES = 8;

  @TempDir Path dir;
  private final AtomicLong clock = new AtomicLong(1_000_000_000_000_000L);
  private final Map<Integer, Holder> streams = new HashMap<>();
  private Controller exchange;
  private AssignerConfig config;
  private long generation = 41;

  /**
   * Lines that wait in a channel of the stated pace, by this test's own count, and the most there
   * were.
   */
  private double queued;

  private double fullest;

  /** A proxy that keeps what it holds over its streams, and answers marks. */
  private final class Holder implements ProxyStream {
    private final int proxy;
    private final TestPeers.AppliedUpdates held;

    Holder(int proxy, TestPeers.AppliedUpdates held) {
      this.proxy = proxy;
      this.held = held;
    }

    @Override
    public void send(byte[] message) {
      try (RespReader reader = new RespReader(RespReader.MAX_MESSAGE_BYTES)) {
        ByteBuffer from = ByteBuffer.wrap(message);
        queued += config.settings().channel().messageOverheadLines();
        for (List<String> words = reader.next(from); words != null; words = reader.next(from)) {
          held.update(words);
          for (int k = 1; k < words.size(); k += 2) {
            queued +=
                switch (words.get(k)) {
                  case "lines", "out", "back" -> words.get(k + 1).split(",").length;
                  case "level", "ticket", "whole" -> 1;
                  default -> 0;
                };
          }
        }
        fullest = Math.max(fullest, queued);
      } catch (RespException e) {
        throw new IllegalStateException(e);
      }
      if (!held.tickets.isEmpty()) {
        exchange.onAcknowledgement(
            this, new Message.Acknowledgement(proxy, held.tickets.get(held.tickets.size() - 1), 0));
        held.tickets.clear();
      }
    }

    @Override
    public void onReplaced() {}
  }

  private void start() throws Exception {
    start(new ExampleConfig());
  }

  private void start(ExampleConfig example) throws Exception {
    config = example.read(dir);
    exchange =
        new Controller(config, FaastPolicy::new, clock::get, failure -> {}) {
          @Override
          public void awaitTick() {}
        };
    exchange.connect(
        new OutboundCalls() {
          @Override
          public void watchEndpoints(boolean on, long since) {}

          @Override
          public void fetchEndpoints() {}

          @Override
          public void checkHealth(long server, String hostPort) {}
        },
        (peer, body) -> {});
    exchange.start();
  }

  private Endpoint instance(String name, int k, Lifecycle state) {
    return new Endpoint(name, "127.0.0.1:1", k % 2, 0, k, state, 1, clock.get());
  }

  private void change(Endpoint... what) {
    exchange.onEndpointList(new EndpointList(++generation, false, List.of(what)), false);
  }

  private void join(int proxy, TestPeers.AppliedUpdates held, boolean fresh) {
    Holder now = new Holder(proxy, held);
    Holder old = streams.put(proxy, now);
    exchange.onProxyJoined(now, new Message.ProxyJoin(proxy, proxy % 2, 2.5, fresh));
    if (old != null) {
      exchange.onStreamClosed(old, proxy);
    }
  }

  private void pass(long us) {
    clock.addAndGet(us);
    queued = Math.max(0, queued - config.settings().channel().linesPerSecond() * us / 1e6);
  }

  private void period(List<String> names) throws Exception {
    for (int k = 0; k < 18; k++) {
      pass(config.settings().controlPeriodUs() / 20);
      exchange.execute(() -> {});
      exchange.runIteration();
    }
    for (String name : names) {
      for (int zone = 0; zone < 2; zone++) {
        exchange.onLoadReport(
            new Message.LoadReport(zone, name, 20, 0, 100_000, 1_000_000, new float[0]));
      }
    }
    for (int proxy : streams.keySet()) {
      exchange.onUsageReport(new Message.UsageReport(proxy, 0, 15, 0, 1_000_000));
    }
    // Timers fall due between the periods' reports too.
    for (int k = 0; k < 4; k++) {
      exchange.execute(() -> {});
      exchange.runIteration();
      pass(config.settings().controlPeriodUs() / 40);
    }
  }

  /** Every server is replaced again and again under a new name, streams break and come back. */
  @Test
  void whatIsKeptGoesWithTheServersProxiesAndTimers() throws Exception {
    start();
    List<String> names = new ArrayList<>();
    for (int k = 0; k < SERVERS; k++) {
      names.add("s-first-" + k);
      change(instance(names.get(k), k, Lifecycle.READY));
    }
    Map<Integer, TestPeers.AppliedUpdates> held = new HashMap<>();
    for (int p = 0; p < PROXIES; p++) {
      held.put(p, new TestPeers.AppliedUpdates(config.names().classes()));
      join(p, held.get(p), true);
    }
    List<Integer> early = null;
    for (int round = 0; round < 1200; round++) {
      int k = round % SERVERS;
      String next = "s-" + round;
      change(instance(names.get(k), k, Lifecycle.DRAINING), instance(next, k, Lifecycle.READY));
      period(names);
      change(
          instance(names.get(k), k, Lifecycle.REMOVED),
          instance("s-never-" + round, k, Lifecycle.REMOVED));
      names.set(k, next);
      join(round % PROXIES, held.get(round % PROXIES), false);
      period(names);
      early = round == 200 ? exchange.retainedSizes() : early;
    }
    names.addAll(List.of("s-5be2a07c", "s-0badcafe"));
    for (TestPeers.AppliedUpdates one : held.values()) {
      assertEquals(List.of(), one.faults);
      assertTrue(
          !one.open("lookup").isEmpty() && names.containsAll(one.open("lookup").keySet()),
          "" + one.open("lookup"));
      // Guards against weights that grow without end as servers are replaced, until none can be
      // read.
      assertTrue(
          one.open("lookup").values().stream().allMatch(w -> w < 1000), "" + one.open("lookup"));
    }
    List<Integer> late = exchange.retainedSizes();
    for (int k = 0; k < late.size(); k++) {
      assertTrue(late.get(k) <= early.get(k) + SERVERS, "of " + early + " became " + late);
    }
    // With its servers and proxies goes all the rest.
    for (String name : names.subList(0, SERVERS)) {
      change(instance(name, 0, Lifecycle.REMOVED));
    }
    streams.forEach((proxy, stream) -> exchange.onStreamClosed(stream, proxy));
    streams.clear();
    for (int round = 0; round < 120; round++) {
      period(List.of());
    }
    assertEquals(
        List.of(2, 2, 0), exchange.retainedSizes().subList(0, 3), "the two of the known list stay");
    assertTrue(
        exchange.retainedSizes().get(3) <= 3 && exchange.retainedSizes().get(4) <= 2,
        "" + exchange.retainedSizes());
  }

  /**
   * A server that comes back under its name after it was forgotten is served, whoever shut it out
   * once.
   */
  @Test
  void aServerThatWasForgottenComesBack() throws Exception {
    start();
    TestPeers.AppliedUpdates held = new TestPeers.AppliedUpdates(config.names().classes());
    join(3, held, true);
    change(instance("s-again", 1, Lifecycle.READY));
    for (int k = 0; k < 30; k++) {
      period(List.of("s-5be2a07c", "s-0badcafe", "s-again"));
    }
    assertTrue(held.open("order").containsKey("s-again"), held.shown());
    change(instance("s-again", 1, Lifecycle.REMOVED));
    for (int k = 0; k < 120; k++) {
      period(List.of("s-5be2a07c", "s-0badcafe"));
    }
    assertTrue(held.out.contains("s-again"), held.shown());
    assertEquals(2, exchange.retainedSizes().get(0), "it is forgotten");
    change(instance("s-again", 1, Lifecycle.READY));
    for (int k = 0; k < 30; k++) {
      period(List.of("s-5be2a07c", "s-0badcafe", "s-again"));
    }
    assertTrue(held.open("order").containsKey("s-again"), held.shown());
  }

  /**
   * Many proxies, servers that are replaced in batches, streams that break, proxies that start
   * afresh: all that goes over the wire counts, words on withdrawals that the orders don't name as
   * well. Guards the limit of lines waiting against servers new to a stream, which come with the
   * word that they are back.
   */
  @Test
  void theQueueStaysShortByTheWiresOwnCount() throws Exception {
    int many = 150;
    start(
        new ExampleConfig()
            .with("\"proxyCount\": 8", "\"proxyCount\": " + many)
            .with("\"reportsPerS\": 150.0", "\"reportsPerS\": 2000.0"));
    List<String> names = new ArrayList<>();
    for (int k = 0; k < 30; k++) {
      names.add("s-first-" + k);
      change(instance(names.get(k), k, Lifecycle.READY));
    }
    List<TestPeers.AppliedUpdates> held = new ArrayList<>();
    for (int p = 0; p < many; p++) {
      held.add(new TestPeers.AppliedUpdates(config.names().classes()));
      join(p, held.get(p), true);
    }
    Random random = new Random(7);
    for (int round = 0; round < 90; round++) {
      if (round % 6 == 3) {
        for (int k = round % 30; k < round % 30 + 6; k++) {
          change(instance(names.get(k % 30), k, Lifecycle.DRAINING));
          names.set(k % 30, "s-" + round + "-" + k);
          change(instance(names.get(k % 30), k, Lifecycle.READY));
        }
      }
      for (int k = 0; k < 25 && round % 4 == 0; k++) {
        int p = random.nextInt(many);
        boolean fresh = round % 8 == 0;
        held.set(p, fresh ? new TestPeers.AppliedUpdates(config.names().classes()) : held.get(p));
        join(p, held.get(p), fresh);
      }
      period(names);
    }
    assertTrue(
        fullest > 0.3 * config.settings().channel().maxBacklogLines(), "it was tried: " + fullest);
    assertTrue(
        fullest <= config.settings().channel().maxBacklogLines(),
        fullest + " lines waited, " + config.settings().channel().maxBacklogLines() + " may");
  }
}
