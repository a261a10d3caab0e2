package pearusher.server;

import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.StringJoiner;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import pearusher.config.AssignerConfig;
import pearusher.control.Controller;
import pearusher.control.DurablePublisher;
import pearusher.control.OutboundCalls;
import pearusher.control.PersistenceOptions;
import pearusher.control.ProxyStream;
import pearusher.policy.FaastPolicy;
import pearusher.protocol.Message;
import pearusher.protocol.RespException;
import pearusher.protocol.RespReader;
import pearusher.store.FileDisk;
import pearusher.store.Store;
import pearusher.store.StoreOptions;

/**
 * What a kill costs at 400 proxies and 120 servers, with and without the store, and what the store
 * adds to an order. The module, the exchange and the store are the real ones, the disk is this
 * machine's; time, proxies and the channel between (a queue of lines at the settings' pace) are the
 * bench's.
 */
public final class CrashRecoveryBench {
  private static final int PROXIES = 400;
  private static final int SERVERS = 120;

  private final Path dir;
  private final AtomicLong clock = new AtomicLong(1_000_000_000_000_000L);
  private final Map<Integer, Holder> streams = new HashMap<>();
  private final Map<Integer, TestPeers.AppliedUpdates> held = new HashMap<>();
  private final ArrayDeque<Arrival> channel = new ArrayDeque<>();
  private final Histogram delays = new Histogram(60_000_000_000L, 3);
  private final Histogram turns = new Histogram(60_000_000_000L, 3);
  private final AssignerConfig config;

  /** When each proxy first followed the right table after the kill. */
  private final Map<Integer, Long> right = new HashMap<>();

  private long rightLines;
  private long channelFreeUs;
  private long messages;
  private long lines;
  private volatile long turnEndNs;
  private Controller exchange;
  private DurablePublisher durable;

  private record Arrival(long atUs, long sentUs, Holder to, List<List<String>> parts) {}

  private final class Holder implements ProxyStream {
    private final int proxy;

    Holder(int proxy) {
      this.proxy = proxy;
    }

    @Override
    public void send(byte[] message) {
      long now = System.nanoTime();
      synchronized (channel) {
        // Within the turn itself the order has waited for nothing.
        delays.recordValue(turnEndNs == 0 ? 0 : Math.max(0, now - turnEndNs));
        List<List<String>> parts = new ArrayList<>();
        double cost = config.settings().channel().messageOverheadLines();
        try (RespReader reader = new RespReader(RespReader.MAX_MESSAGE_BYTES)) {
          ByteBuffer from = ByteBuffer.wrap(message);
          for (List<String> words = reader.next(from); words != null; words = reader.next(from)) {
            parts.add(words);
            for (int k = 1; k < words.size(); k += 2) {
              cost +=
                  switch (words.get(k)) {
                    case "lines", "out", "back" -> words.get(k + 1).split(",").length;
                    case "level", "ticket", "whole" -> 1;
                    default -> 0;
                  };
            }
          }
        } catch (RespException e) {
          throw new IllegalStateException(e);
        }
        messages++;
        lines += Math.round(cost);
        channelFreeUs =
            Math.max(channelFreeUs, clock.get())
                + Math.round(cost / config.settings().channel().linesPerSecond() * 1e6);
        channel.add(new Arrival(channelFreeUs, clock.get(), this, parts));
      }
    }

    @Override
    public void onReplaced() {}
  }

  private CrashRecoveryBench(Path dir) throws Exception {
    this.dir = dir;
    StringJoiner known = new StringJoiner(",");
    for (int k = 0; k < SERVERS; k++) {
      known.add(
          TestPeers.instance(
              "s-" + k, "127.0.0.1:1", k % 2 == 0 ? "north" : "south", "in_service", 0));
    }
    String json = new ExampleConfig().json();
    int from = json.indexOf("\"instances\": [") + "\"instances\": [".length();
    int to = json.indexOf("]", from);
    config =
        new ExampleConfig()
            .with(json.substring(from, to), known.toString())
            .with("\"proxyCount\": 8", "\"proxyCount\": " + (PROXIES + 2))
            .read(dir);
  }

  public static void main(String[] args) throws Exception {
    Path root = Files.createTempDirectory(Path.of("target"), "kill");
    int rounds = args.length > 0 ? 1 : 3;
    for (int round = 0; round < rounds; round++) {
      for (String mode :
          args.length > 0
              ? new String[] {"without", "each"}
              : new String[] {"without", "each", "interval"}) {
        Path dir = Files.createDirectory(root.resolve(mode + round));
        CrashRecoveryBench bench = new CrashRecoveryBench(dir);
        bench.run(mode, args.length > 0);
      }
    }
  }

  private static void say(String name, double value, String unit) {
    System.out.printf("%s %.3f %s%n", name, value, unit);
  }

  private void start(String mode) throws Exception {
    durable = null;
    if (!mode.equals("without")) {
      StoreOptions options =
          new StoreOptions(
              mode.equals("each") ? StoreOptions.Policy.EACH : StoreOptions.Policy.INTERVAL,
              20_000,
              8 << 20,
              1 << 20,
              2,
              StoreOptions.Damage.REFUSE);
      FileDisk disk = new FileDisk(dir.resolve("store"));
      disk.createDirectory();
      durable =
          new DurablePublisher(
              config,
              new PersistenceOptions(dir, options, 60_000_000, 5_000_000, 600_000_000),
              Store.open(disk, options),
              clock::get);
    }
    exchange =
        new Controller(
            config, FaastPolicy::new, clock::get, failure -> {}, durable, Optional.empty()) {
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
    if (durable != null) {
      durable.start();
    }
    exchange.start();
  }

  private void join(int proxy, boolean fresh) {
    Holder now = new Holder(proxy);
    streams.put(proxy, now);
    held.computeIfAbsent(proxy, p -> new TestPeers.AppliedUpdates(config.names().classes()));
    exchange.onProxyJoined(now, new Message.ProxyJoin(proxy, proxy % 2, 2.5, fresh));
  }

  private void turn() throws InterruptedException {
    exchange.execute(() -> {});
    turnEndNs = 0;
    long start = System.nanoTime();
    exchange.runIteration();
    long end = System.nanoTime();
    turnEndNs = end;
    turns.recordValue(end - start);
    while (durable != null && durable.pendingIterations() > 0) {
      Thread.sleep(0, 20_000);
    }
  }

  /** Time passes by a twentieth of a period: what has arrived is applied and answered. */
  private void tick() throws InterruptedException {
    clock.addAndGet(config.settings().controlPeriodUs() / 20);
    synchronized (channel) {
      while (!channel.isEmpty() && channel.peek().atUs() <= clock.get()) {
        Arrival one = channel.poll();
        TestPeers.AppliedUpdates to = held.get(one.to().proxy);
        one.parts().forEach(to::update);
        if (streams.get(one.to().proxy) == one.to() && !to.tickets.isEmpty()) {
          exchange.onAcknowledgement(
              one.to(),
              new Message.Acknowledgement(
                  one.to().proxy,
                  to.tickets.get(to.tickets.size() - 1),
                  clock.get() - one.sentUs()));
        }
        to.tickets.clear();
      }
    }
    turn();
  }

  private void period() throws InterruptedException {
    for (int k = 0; k < SERVERS; k++) {
      for (int zone = 0; zone < 2; zone++) {
        // Servers differ by four to one and hold still.
        exchange.onLoadReport(
            new Message.LoadReport(
                zone, "s-" + k, 40, 0, 50_000 + 1_250L * k, 1_000_000, new float[0]));
      }
    }
    for (int proxy : streams.keySet()) {
      exchange.onUsageReport(new Message.UsageReport(proxy, 0, 15, 0, 1_000_000));
    }
    for (int k = 0; k < 20; k++) {
      tick();
      if (held.containsKey(PROXIES)) {
        right();
      }
    }
  }

  /**
   * Who holds just now what one holds that joined with nothing and was bound since: it follows the
   * table.
   */
  private void right() {
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      TestPeers.AppliedUpdates whole = held.get(PROXIES + proxy % 2);
      if (!right.containsKey(proxy) && whole.messages > 0 && same(held.get(proxy), whole)) {
        right.put(proxy, clock.get());
        if (right.size() == PROXIES) {
          rightLines = lines;
        }
      }
    }
  }

  private boolean same(TestPeers.AppliedUpdates a, TestPeers.AppliedUpdates b) {
    return config.names().classes().stream().allMatch(grade -> a.open(grade).equals(b.open(grade)));
  }

  private void run(String mode, boolean quick) throws Exception {
    start(mode);
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      join(proxy, true);
    }
    int before = quick ? 30 : 60;
    for (int k = 0; k < before; k++) {
      if (k == before - 10) {
        messages = 0;
        lines = 0;
      }
      period();
    }
    say(mode + "_calm_messages", (double) messages, "in_10_s");
    say(mode + "_calm_lines", (double) lines, "in_10_s");
    say(mode + "_order_delay_p50", delays.getValueAtPercentile(50) / 1e3, "us");
    say(mode + "_order_delay_p99", delays.getValueAtPercentile(99) / 1e3, "us");
    say(mode + "_turn_p50", turns.getValueAtPercentile(50) / 1e3, "us");
    say(mode + "_turn_p99", turns.getValueAtPercentile(99) / 1e3, "us");
    // Killed: streams end, what waits in the channel of the platform still arrives.
    streams.clear();
    if (durable != null) {
      durable.closeQuietly();
    }
    messages = 0;
    lines = 0;
    clock.addAndGet(2_000_000);
    start(mode);
    // Proxies dial again within half a second; two that hold nothing show what is right.
    long restart = clock.get();
    join(PROXIES, true);
    join(PROXIES + 1, true);
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      join(proxy, false);
      if (proxy % 40 == 39) {
        tick();
        right();
      }
    }
    for (int k = 0; k < 40; k++) {
      period();
      if (k == 19) {
        say(mode + "_kill_lines_20", (double) lines, "in_20_s");
      }
      if (k == 9) {
        say(mode + "_kill_messages", (double) messages, "in_10_s");
        say(mode + "_kill_lines", (double) lines, "in_10_s");
      }
    }
    long[] times = right.values().stream().mapToLong(t -> t - restart).sorted().toArray();
    say(mode + "_kill_right", times.length, "of_" + PROXIES);
    say(mode + "_kill_lines_until_right", (double) rightLines, "count");
    if (times.length > 0) {
      say(mode + "_kill_right_half", times[times.length / 2] / 1e6, "s");
      say(mode + "_kill_right_all", times[times.length - 1] / 1e6, "s");
    }
    if (durable != null) {
      durable.closeQuietly();
    }
  }
}
