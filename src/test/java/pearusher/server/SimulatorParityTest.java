package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
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
import pearusher.transport.StreamServer;

/**
 * Sends one sequence of events through the simulator's protocol and through sockets, and checks
 * that each proxy ends up with the same tables, admission levels and ejections on both paths.
 * Guards against differences between the two adapters of the policy.
 */
class SimulatorParityTest {
  private static final List<String> CLASSES = List.of("lookup", "order");
  private static final List<String> ZONES = List.of("north", "south");
  private static final long START_US = 1_800_000_000_000_000L;
  private static final int PROXIES = 6;
  private static final int CONFIGURED_SERVERS = 6;
  private static final int STEPS = 120;
  private static final long STEP_US = 250_000;
  @TempDir Path directory;

  private static String u16(int value) {
    return HexFormat.of().formatHex(new byte[] {(byte) value, (byte) (value >> 8)});
  }

  private static String u8(int value) {
    return HexFormat.of().formatHex(new byte[] {(byte) value});
  }

  private static String f32(double value) {
    return BatchWriter.u32(Float.floatToIntBits((float) value) & 0xffffffffL);
  }

  /** Returns the address of a server. Addresses sort in the order in which servers are listed. */
  private static String serverAddress(int server) {
    return "0a0000" + u8(server) + "901f";
  }

  private static String describe(AppliedUpdates applied) {
    List<String> out = new ArrayList<>();
    for (String requestClass : CLASSES) {
      AppliedTable table = applied.tables.get(requestClass);
      out.add(
          applied.usableWeights(requestClass)
              + " "
              + (table.level == null ? "null" : table.level + " " + table.retry));
    }
    return String.join("; ", out);
  }

  /** Source of the random values in reports, which both paths receive. */
  private final Random random = new Random(20261201);

  private final SimulatedProxies simulated = new SimulatedProxies();
  private final AtomicLong clock = new AtomicLong(START_US);
  private final Map<Integer, ProxyClient> streams = new TreeMap<>();
  private final Map<Integer, AppliedUpdates> applied = new TreeMap<>();
  private final List<String> records = new ArrayList<>();
  private Controller controller;
  private InetSocketAddress address;
  private int queuedEvents;

  private void sendOnBothPaths(RespClient client, String line, String record) throws Exception {
    client.send(line);
    queuedEvents++;
    TestPeers.awaitUntil(line, () -> controller.pendingEvents() == queuedEvents);
    records.add(record);
  }

  private String listRecord(int server, int state, long startedUs) {
    return serverAddress(server)
        + u8(server % 2)
        + "0000"
        + "0000"
        + u8(state)
        + f32(1)
        + BatchWriter.u64(startedUs);
  }

  private String instance(int server, int state, long startedUs) {
    return TestPeers.endpointJson(
        "s" + server,
        "127.0.0.1:" + (9000 + server),
        ZONES.get(server % 2),
        List.of("terminated", "in_service", "terminating").get(state),
        startedUs / 1000);
  }

  private void join(int proxy, boolean isFresh) throws Exception {
    applied.putIfAbsent(proxy, new AppliedUpdates(CLASSES));
    ProxyClient stream = new ProxyClient(address, applied.get(proxy));
    streams.put(proxy, stream);
    sendOnBothPaths(
        stream,
        "joined proxy "
            + proxy
            + " zone "
            + ZONES.get(proxy % 2)
            + " weight "
            + (5 + proxy)
            + " fresh "
            + (isFresh ? 1 : 0),
        "07" + u16(proxy) + u8(proxy % 2) + f32(5 + proxy) + (isFresh ? "01" : "00"));
  }

  private void leave(int proxy) throws Exception {
    streams.remove(proxy).close();
    queuedEvents++;
    TestPeers.awaitUntil(
        "the end of the stream of proxy " + proxy,
        () -> controller.pendingEvents() == queuedEvents);
    records.add("08" + u16(proxy));
    simulated.unbind(proxy);
  }

  @Test
  void simulatorAndSocketsResultInTheSameTables() throws Exception {
    QueuedThreadPool threads = new QueuedThreadPool(8, 4);
    ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("timers", true);
    threads.start();
    scheduler.start();
    HttpStub discovery = new HttpStub();
    ExampleConfig example = exampleWithServers().discovery(discovery.address());
    AssignerConfig config = example.read(directory);
    controller = new Controller(config, FaastPolicy::new, clock::get, failure -> {});
    StreamServer server = new StreamServer(config, controller, threads, scheduler);
    OutboundClient discoveryClient = new OutboundClient(config, controller, threads, scheduler);
    controller.connect(new CallsWithoutHealthChecks(discoveryClient), (peer, body) -> {});
    address = server.listen();
    discoveryClient.start();
    controller.start();
    startSimulator(config, example);
    StubRequest watch = discovery.awaitRequest();
    watch.startWatch();
    RespClient collector = new RespClient(address).startReading();
    collector.send("collector zone north");
    int compared = 0;
    for (int step = 1; step <= STEPS; step++) {
      runStep(step, watch, collector);
      compared += compareProxies(step);
    }
    assertTrue(compared > 300, "bound proxies compared: " + compared);
    assertTrue(simulated.hasAnyLevel());
    collector.close();
    server.stop();
    discoveryClient.stop();
    discovery.close();
    scheduler.stop();
    threads.stop();
  }

  private ExampleConfig exampleWithServers() throws IOException {
    ExampleConfig example = new ExampleConfig();
    String json = example.json();
    String[] instances = new String[CONFIGURED_SERVERS];
    for (int k = 0; k < CONFIGURED_SERVERS; k++) {
      instances[k] = instance(k, 1, 0);
    }
    return example.with(
        json.substring(json.indexOf("\"known\""), json.indexOf("\"settings\"")),
        "\"known\": " + TestPeers.endpointListJson(41, true, instances) + ",\n  ");
  }

  private void startSimulator(AssignerConfig config, ExampleConfig example) throws Exception {
    StringBuilder entries = new StringBuilder();
    for (int k = 0; k < CONFIGURED_SERVERS; k++) {
      entries.append(listRecord(k, 1, 0));
    }
    simulated.runBatch(
        START_US,
        List.of(
            "01" + BatchWriter.u64(config.settings().seed()) + settingsRecord(example.json()),
            "0202" + BatchWriter.u32(41) + BatchWriter.u32(CONFIGURED_SERVERS) + entries));
  }

  /** Outbound calls without health checks, whose response times vary between runs. */
  private record CallsWithoutHealthChecks(OutboundClient discovery) implements OutboundCalls {
    @Override
    public void watchEndpoints(boolean on, long since) {
      discovery.watchEndpoints(on, since);
    }

    @Override
    public void fetchEndpoints() {
      discovery.fetchEndpoints();
    }

    @Override
    public void checkHealth(long server, String hostPort) {}
  }

  private void runStep(int step, StubRequest watch, RespClient collector) throws Exception {
    long nowUs = START_US + step * STEP_US;
    assertTrue(nowUs > 0);
    clock.set(nowUs);
    queuedEvents = 0;
    records.clear();
    sendEvents(step, watch, collector);
    controller.runIteration();
    simulated.runBatch(nowUs, records);
  }

  /** Compares the state of bound proxies on both paths. Returns the number of these proxies. */
  private int compareProxies(int step) throws InterruptedException {
    int compared = 0;
    for (int proxy : streams.keySet()) {
      String expected = simulated.describe(proxy);
      AppliedUpdates actual = applied.get(proxy);
      if (!expected.equals("unbound")) {
        TestPeers.awaitUntil(
            "step " + step + ", proxy " + proxy + ": " + expected + " but " + describe(actual),
            () -> describe(actual).equals(expected));
        compared++;
      }
      assertEquals(List.of(), actual.faults);
    }
    return compared;
  }

  private void sendEvents(int step, StubRequest watch, RespClient collector) throws Exception {
    if (step == 1) {
      changeList(watch, 42);
    }
    if (step <= PROXIES) {
      join(step - 1, step % 3 != 0);
    }
    switch (step) {
      case 30 -> changeList(watch, 43, new int[] {2, 2});
      case 40 -> changeList(watch, 44, new int[] {2, 0}, new int[] {6, 1});
      case 50 -> changeList(watch, 45, new int[] {2, 1}, new int[] {3, 2});
      case 52 -> leave(4);
      case 55 -> join(4, false);
      case 70 -> changeList(watch, 46, new int[] {3, 1});
      case 71 -> leave(1);
      case 72 -> join(1, true);
      default -> {}
    }
    if (step % 4 == 0) {
      reportLoad(step, collector);
    }
    for (int proxy : List.copyOf(streams.keySet())) {
      reportUsage(step, proxy, collector);
      if (step % 3 == 0) {
        acknowledge(proxy);
      }
    }
    assertTrue(queuedEvents > 0);
  }

  private void reportLoad(int step, RespClient collector) throws Exception {
    boolean isOverloaded = step > 80 && step < 100;
    for (int server = 0; server < 7; server++) {
      for (int zone = 0; zone < 2; zone++) {
        int attempts = 5 + random.nextInt(20);
        int failed = failedAttempts(step, server, attempts);
        int meanMs = isOverloaded ? 1500 : 50 + 30 * server + random.nextInt(20);
        sendOnBothPaths(
            collector,
            "heard zone "
                + ZONES.get(zone)
                + " server s"
                + server
                + " tries "
                + attempts
                + " failed "
                + failed
                + " mean_ms "
                + meanMs
                + " span_ms 1000.0",
            "0a"
                + BatchWriter.u32(attempts)
                + BatchWriter.u32(failed)
                + BatchWriter.u32(1_000_000)
                + u8(zone)
                + serverAddress(server)
                + BatchWriter.u32(meanMs * 1000L)
                + "00");
      }
    }
  }

  /** Returns failures of all servers during the overload, and of one server before it. */
  private static int failedAttempts(int step, int server, int attempts) {
    if (step > 80 && step < 100) {
      return attempts / 2;
    }
    return server == 5 && step > 20 && step < 40 ? attempts - 1 : 0;
  }

  private void reportUsage(int step, int proxy, RespClient collector) throws Exception {
    int requestClass = step % 2;
    int requests = 1 + random.nextInt(12);
    sendOnBothPaths(
        collector,
        "usage proxy "
            + proxy
            + " class "
            + CLASSES.get(requestClass)
            + " tries "
            + requests
            + " failed 0 span_ms 500.0",
        "0b"
            + u16(proxy)
            + u8(requestClass)
            + BatchWriter.u32(requests)
            + BatchWriter.u32(0)
            + BatchWriter.u32(500_000));
  }

  private void acknowledge(int proxy) throws Exception {
    List<Integer> requested = applied.get(proxy).ackNumbers;
    if (requested.isEmpty()) {
      return;
    }
    int number = requested.get(requested.size() - 1);
    sendOnBothPaths(
        streams.get(proxy),
        "applied proxy " + proxy + " mark " + number + " took_ms 310.5",
        "09" + BatchWriter.u32(310_500) + BatchWriter.u32(number) + u16(proxy));
  }

  private void changeList(StubRequest watch, int generation, int[]... changes) throws Exception {
    StringBuilder entries = new StringBuilder();
    List<String> instances = new ArrayList<>();
    for (int[] change : changes) {
      long started = change[1] == 1 ? START_US + generation * 1000L : 0;
      instances.add(instance(change[0], change[1], started));
      entries.append(listRecord(change[0], change[1], started));
    }
    watch.writeLine(
        TestPeers.endpointListJson(generation, false, instances.toArray(new String[0])));
    queuedEvents++;
    TestPeers.awaitUntil(
        "the event of the endpoint list", () -> controller.pendingEvents() == queuedEvents);
    records.add("0200" + BatchWriter.u32(generation) + BatchWriter.u32(changes.length) + entries);
  }

  /**
   * Returns the settings of the example in the simulator's format of {@code path=value} lines,
   * which this test produces independently of the main code.
   */
  private static String settingsRecord(String json) throws Exception {
    StringBuilder lines = new StringBuilder();
    try (JsonParser parser = new JsonFactory().createParser(json)) {
      while (parser.nextToken() != null) {
        if (parser.currentToken().isScalarValue()) {
          String path =
              parser.getParsingContext().pathAsPointer().toString().substring(1).replace('/', '.');
          if (path.startsWith("settings.")) {
            lines.append(path.substring(9)).append('=').append(parser.getText()).append('\n');
          }
        }
      }
    }
    Map<String, List<String>> joined = new TreeMap<>();
    int classCount = 0;
    for (String line : lines.toString().split("\n")) {
      String key = line.substring(0, line.indexOf('='));
      boolean isListItem = key.matches(".*\\.\\d+");
      classCount =
          key.startsWith("grades.") ? Integer.parseInt(key.split("\\.")[1]) + 1 : classCount;
      joined
          .computeIfAbsent(
              isListItem ? key.substring(0, key.lastIndexOf('.')) : key, k -> new ArrayList<>())
          .add(line.substring(line.indexOf('=') + 1));
    }
    StringBuilder out = new StringBuilder("grades.count=" + classCount);
    joined.forEach(
        (key, values) -> out.append('\n').append(key).append('=').append(String.join(",", values)));
    byte[] raw = out.toString().getBytes(StandardCharsets.UTF_8);
    return BatchWriter.u32(raw.length) + HexFormat.of().formatHex(raw);
  }
}
