package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pearusher.config.AssignerConfig;
import pearusher.control.Controller;
import pearusher.control.OutboundCalls;
import pearusher.discovery.OutboundClient;
import pearusher.policy.FaastPolicy;
import pearusher.simulator.BatchWriter;
import pearusher.simulator.SimulatorLoop;
import pearusher.transport.StreamServer;

/**
 * One recorded sequence played through the adapter's wire and through sockets: at every proxy the
 * same tables, levels and withdrawals must result. The wire's orders are applied as WIRE says, the
 * sockets' as PROTOCOL says.
 */
class SimulatorParityTest {
  private static final List<String> CLASSES = List.of("lookup", "order");
  private static final List<String> ZONES = List.of("north", "south");
  private static final long START = 1_800_000_000_000_000L;
  private static final int PROXIES = 6;
  @TempDir Path dir;

  private static String u16(int v) {
    return HexFormat.of().formatHex(new byte[] {(byte) v, (byte) (v >> 8)});
  }

  private static String u8(int v) {
    return HexFormat.of().formatHex(new byte[] {(byte) v});
  }

  private static String f32(double v) {
    return BatchWriter.u32(Float.floatToIntBits((float) v) & 0xffffffffL);
  }

  /** Server k's address: they sort as the servers were first named. */
  private static String task(int k) {
    return "0a0000" + u8(k) + "901f";
  }

  /** Proxies as the simulator has them, behind the adapter. */
  private static final class Simulated {
    final SimulatorLoop loop = new SimulatorLoop(FaastPolicy::new);
    final Map<Integer, Map<Integer, Float>> lines = new TreeMap<>();
    final Map<Integer, String[]> levels = new TreeMap<>();
    final TreeSet<Integer> withdrawn = new TreeSet<>();
    final Map<Integer, Integer> bound = new TreeMap<>();
    final TreeMap<Long, List<Long>> alarms = new TreeMap<>();

    void batch(long now, List<String> records) throws Exception {
      List<String> all = new ArrayList<>(List.of("0f0300"));
      all.addAll(records);
      while (!alarms.isEmpty() && alarms.firstKey() <= now) {
        alarms.pollFirstEntry().getValue().forEach(token -> all.add("03" + BatchWriter.u64(token)));
      }
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      loop.run(new ByteArrayInputStream(BatchWriter.frame(now, all.toArray(new String[0]))), out);
      ByteBuffer in = ByteBuffer.wrap(out.toByteArray()).order(ByteOrder.LITTLE_ENDIAN).position(8);
      while (in.hasRemaining()) {
        action(now, in);
      }
    }

    private int server(ByteBuffer in) {
      byte[] raw = new byte[6];
      in.get(raw);
      return raw[3];
    }

    private void action(long now, ByteBuffer in) {
      int code = in.get();
      switch (code) {
        case 72 -> in.getShort();
        case 78 -> {
          Map<Integer, Float> table =
              lines.computeIfAbsent((int) in.getShort(), t -> new TreeMap<>());
          int server = server(in);
          float weight = in.getFloat();
          if (weight > 0) {
            table.put(server, weight);
          } else {
            table.remove(server);
          }
        }
        case 66 -> {
          int server = server(in);
          if (in.get() != 0) {
            withdrawn.add(server);
          } else {
            withdrawn.remove(server);
          }
        }
        case 69 -> {
          bound.put((int) in.getShort(), (int) in.getShort());
          assertEquals(0, in.getShort());
        }
        case 70 -> {
          int again = in.get();
          float level = in.getFloat();
          String[] at = levels.computeIfAbsent((int) in.getShort(), t -> new String[2]);
          int bits = in.getShort();
          for (int k = 0; k < 2; k++) {
            at[k] = bits == 0 || (bits >> k & 1) != 0 ? level + " " + again : at[k];
          }
        }
        case 77 -> {
          long due = now + (in.getInt() & 0xffffffffL);
          alarms.computeIfAbsent(due, d -> new ArrayList<>()).add(in.getLong());
        }
        case 75 -> server(in);
        case 67 -> in.position(in.position() + 5);
        case 68 -> in.get();
        case 65 -> in.position(in.position() + 2 + in.getShort(in.position()));
        default -> throw new AssertionError("action " + code);
      }
    }

    String shown(int proxy) {
      Integer table = bound.get(proxy);
      if (table == null) {
        return "unbound";
      }
      Map<String, Float> open = new TreeMap<>();
      lines
          .getOrDefault(table, Map.of())
          .forEach(
              (s, w) -> {
                if (!withdrawn.contains(s)) {
                  open.put("s" + s, w);
                }
              });
      String[] at = levels.getOrDefault(table, new String[2]);
      return open + " " + at[0] + "; " + open + " " + at[1];
    }
  }

  private static String shown(TestPeers.AppliedUpdates held) {
    List<String> out = new ArrayList<>();
    for (String c : CLASSES) {
      TestPeers.AppliedTable at = held.by.get(c);
      out.add(held.open(c) + " " + (at.level == null ? "null" : at.level + " " + at.retry));
    }
    return String.join("; ", out);
  }

  /** The world that both sides hear of, drawn from a fixed seed. */
  private final Random random = new Random(20261201);

  private final Simulated simulated = new Simulated();
  private final AtomicLong clock = new AtomicLong(START);
  private final Map<Integer, ProxyClient> streams = new TreeMap<>();
  private final Map<Integer, TestPeers.AppliedUpdates> held = new TreeMap<>();
  private final List<String> records = new ArrayList<>();
  private Controller exchange;
  private int queued;

  private void both(RespClient through, String line, String record) throws Exception {
    through.send(line);
    queued++;
    TestPeers.until(line, () -> exchange.pendingEvents() == queued);
    records.add(record);
  }

  private String entry(int server, int state, long startedUs) {
    return task(server)
        + u8(server % 2)
        + "0000"
        + "0000"
        + u8(state)
        + f32(1)
        + BatchWriter.u64(startedUs);
  }

  private String instance(int server, int state, long startedUs) {
    return TestPeers.instance(
        "s" + server,
        "127.0.0.1:" + (9000 + server),
        ZONES.get(server % 2),
        List.of("terminated", "in_service", "terminating").get(state),
        startedUs / 1000);
  }

  private void join(int proxy, boolean fresh) throws Exception {
    held.putIfAbsent(proxy, new TestPeers.AppliedUpdates(CLASSES));
    ProxyClient stream = new ProxyClient(address, held.get(proxy));
    streams.put(proxy, stream);
    both(
        stream,
        "joined proxy "
            + proxy
            + " zone "
            + ZONES.get(proxy % 2)
            + " weight "
            + (5 + proxy)
            + " fresh "
            + (fresh ? 1 : 0),
        "07" + u16(proxy) + u8(proxy % 2) + f32(5 + proxy) + (fresh ? "01" : "00"));
  }

  private java.net.InetSocketAddress address;

  private void leave(int proxy) throws Exception {
    streams.remove(proxy).close();
    queued++;
    TestPeers.until("the end of " + proxy, () -> exchange.pendingEvents() == queued);
    records.add("08" + u16(proxy));
    simulated.bound.remove(proxy);
  }

  @Test
  void theSameEventsLeadToTheSameOrders() throws Exception {
    QueuedThreadPool threads = new QueuedThreadPool(8, 4);
    ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("timers", true);
    threads.start();
    scheduler.start();
    HttpStub discovery = new HttpStub();
    ExampleConfig example = new ExampleConfig().discovery(discovery.address());
    String json = example.json();
    int known = json.indexOf("\"known\"");
    int settings = json.indexOf("\"settings\"");
    List<String> first = new ArrayList<>();
    StringBuilder entries = new StringBuilder();
    for (int k = 0; k < 6; k++) {
      first.add(instance(k, 1, 0));
      entries.append(entry(k, 1, 0));
    }
    example.with(
        json.substring(known, settings),
        "\"known\": " + TestPeers.listing(41, true, first.toArray(new String[0])) + ",\n  ");
    AssignerConfig config = example.read(dir);
    exchange = new Controller(config, FaastPolicy::new, clock::get, failure -> {});
    StreamServer server = new StreamServer(config, exchange, threads, scheduler);
    OutboundClient outbound = new OutboundClient(config, exchange, threads, scheduler);
    // Probes are left out: their answers come at times of their own.
    exchange.connect(
        new OutboundCalls() {
          @Override
          public void watchEndpoints(boolean on, long since) {
            outbound.watchEndpoints(on, since);
          }

          @Override
          public void fetchEndpoints() {
            outbound.fetchEndpoints();
          }

          @Override
          public void checkHealth(long server, String hostPort) {}
        },
        (peer, body) -> {});
    address = server.listen();
    outbound.start();
    exchange.start();
    simulated.batch(
        START,
        List.of(
            "01" + BatchWriter.u64(config.settings().seed()) + text(example.json()),
            "0202" + BatchWriter.u32(41) + BatchWriter.u32(6) + entries));
    StubRequest watch = discovery.awaitRequest();
    watch.startWatch();
    RespClient collector = new RespClient(address).startReading();
    collector.send("collector zone north");
    int compared = 0;
    for (int step = 1; step <= 120; step++) {
      long now = START + step * 250_000L;
      clock.set(now);
      queued = 0;
      records.clear();
      world(step, now, watch, collector);
      exchange.runIteration();
      simulated.batch(now, records);
      for (Map.Entry<Integer, ProxyClient> e : streams.entrySet()) {
        String wanted = simulated.shown(e.getKey());
        TestPeers.AppliedUpdates at = held.get(e.getKey());
        if (!wanted.equals("unbound")) {
          TestPeers.until(
              "step " + step + ", proxy " + e.getKey() + ": " + wanted + " but " + shown(at),
              () -> shown(at).equals(wanted));
          compared++;
        }
        assertEquals(List.of(), at.faults);
      }
    }
    assertTrue(compared > 300, "bound proxies compared: " + compared);
    assertTrue(simulated.levels.values().stream().flatMap(Arrays::stream).anyMatch(l -> l != null));
    collector.close();
    server.stop();
    outbound.stop();
    discovery.close();
    scheduler.stop();
    threads.stop();
  }

  private void world(int step, long now, StubRequest watch, RespClient collector) throws Exception {
    if (step == 1) {
      list(watch, 42);
    }
    if (step <= PROXIES) {
      join(step - 1, step % 3 != 0);
    }
    switch (step) {
      case 30 -> list(watch, 43, new int[] {2, 2});
      case 40 -> list(watch, 44, new int[] {2, 0}, new int[] {6, 1});
      case 50 -> list(watch, 45, new int[] {2, 1}, new int[] {3, 2});
      case 52 -> leave(4);
      case 55 -> join(4, false);
      case 70 -> list(watch, 46, new int[] {3, 1});
      case 71 -> leave(1);
      case 72 -> join(1, true);
      default -> {}
    }
    if (step % 4 == 0) {
      boolean jam = step > 80 && step < 100;
      for (int k = 0; k < 7; k++) {
        for (int z = 0; z < 2; z++) {
          int tries = 5 + random.nextInt(20);
          int failed = jam ? tries / 2 : k == 5 && step > 20 && step < 40 ? tries - 1 : 0;
          int ms = jam ? 1500 : 50 + 30 * k + random.nextInt(20);
          both(
              collector,
              "heard zone "
                  + ZONES.get(z)
                  + " server s"
                  + k
                  + " tries "
                  + tries
                  + " failed "
                  + failed
                  + " mean_ms "
                  + ms
                  + " span_ms 1000.0",
              "0a"
                  + BatchWriter.u32(tries)
                  + BatchWriter.u32(failed)
                  + BatchWriter.u32(1_000_000)
                  + u8(z)
                  + task(k)
                  + BatchWriter.u32(ms * 1000L)
                  + "00");
        }
      }
    }
    for (int p : List.copyOf(streams.keySet())) {
      int grade = step % 2;
      int requests = 1 + random.nextInt(12);
      both(
          collector,
          "usage proxy "
              + p
              + " class "
              + CLASSES.get(grade)
              + " tries "
              + requests
              + " failed 0 span_ms 500.0",
          "0b"
              + u16(p)
              + u8(grade)
              + BatchWriter.u32(requests)
              + BatchWriter.u32(0)
              + BatchWriter.u32(500_000));
      List<Integer> tickets = held.get(p).tickets;
      if (step % 3 == 0 && !tickets.isEmpty()) {
        int mark = tickets.get(tickets.size() - 1);
        both(
            streams.get(p),
            "applied proxy " + p + " mark " + mark + " took_ms 310.5",
            "09" + BatchWriter.u32(310_500) + BatchWriter.u32(mark) + u16(p));
      }
    }
    assertTrue(queued > 0 && now > 0);
  }

  private void list(StubRequest watch, int generation, int[]... changes) throws Exception {
    StringBuilder entries = new StringBuilder();
    List<String> instances = new ArrayList<>();
    for (int[] change : changes) {
      long started = change[1] == 1 ? START + generation * 1000L : 0;
      instances.add(instance(change[0], change[1], started));
      entries.append(entry(change[0], change[1], started));
    }
    watch.writeLine(TestPeers.listing(generation, false, instances.toArray(new String[0])));
    queued++;
    TestPeers.until("the list", () -> exchange.pendingEvents() == queued);
    records.add("0200" + BatchWriter.u32(generation) + BatchWriter.u32(changes.length) + entries);
  }

  /**
   * The example's settings in the simulator's form: path=value lines, written here by hand rules.
   */
  private static String text(String json) throws Exception {
    StringBuilder lines = new StringBuilder();
    try (com.fasterxml.jackson.core.JsonParser in =
        new com.fasterxml.jackson.core.JsonFactory().createParser(json)) {
      while (in.nextToken() != null) {
        if (in.currentToken().isScalarValue()) {
          String path =
              in.getParsingContext().pathAsPointer().toString().substring(1).replace('/', '.');
          if (path.startsWith("settings.")) {
            lines.append(path.substring(9)).append('=').append(in.getText()).append('\n');
          }
        }
      }
    }
    Map<String, List<String>> joined = new TreeMap<>();
    int grades = 0;
    for (String line : lines.toString().split("\n")) {
      String key = line.substring(0, line.indexOf('='));
      boolean item = key.matches(".*\\.\\d+");
      grades = key.startsWith("grades.") ? Integer.parseInt(key.split("\\.")[1]) + 1 : grades;
      joined
          .computeIfAbsent(
              item ? key.substring(0, key.lastIndexOf('.')) : key, k -> new ArrayList<>())
          .add(line.substring(line.indexOf('=') + 1));
    }
    StringBuilder out = new StringBuilder("grades.count=" + grades);
    joined.forEach(
        (key, values) -> out.append('\n').append(key).append('=').append(String.join(",", values)));
    byte[] raw = out.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
    return BatchWriter.u32(raw.length) + HexFormat.of().formatHex(raw);
  }
}
