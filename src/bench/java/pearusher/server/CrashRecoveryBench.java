package pearusher.server;

import java.nio.file.Files;
import java.nio.file.Path;
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
import pearusher.control.Persistence;
import pearusher.policy.FaastPolicy;
import pearusher.protocol.Message;

/**
 * Measures the cost of an assigner crash with 400 proxies and 120 servers, with and without the
 * store, and the delay that the store adds to an update. The policy, the controller and the store,
 * on a real disk, are the production code. The clock, the proxies and the {@link SimulatedChannel}
 * between assigner and proxies are simulated. Prints {@code name value unit} lines; any argument
 * selects the short run.
 */
public final class CrashRecoveryBench {
  private static final int PROXIES = 400;
  private static final int SERVERS = 120;
  private static final int ZONES = 2;
  private static final int TICKS_PER_PERIOD = 20;
  private static final int PERIODS_AFTER_KILL = 40;
  private static final int COUNTED_PERIODS = 10;
  private static final int JOINS_PER_TICK = 40;
  private static final long DOWNTIME_US = 2_000_000;
  private static final long MAX_RECORDED_NS = 60_000_000_000L;

  private final Path directory;
  private final PersistenceVariant variant;
  private final int periodsBeforeKill;
  private final AssignerConfig config;
  private final SimulatedChannel channel;
  private final AtomicLong clockUs = new AtomicLong(1_000_000_000_000_000L);
  private final Map<Integer, SimulatedChannel.Stream> streams = new HashMap<>();
  private final Map<Integer, AppliedUpdates> appliedUpdates = new HashMap<>();
  private final Histogram iterationsNs = new Histogram(MAX_RECORDED_NS, 3);

  /** The time at which each proxy first had the correct tables after the crash. */
  private final Map<Integer, Long> convergedAtUs = new HashMap<>();

  private long linesUntilConverged;
  private Controller controller;
  private Optional<DurablePublisher> durable = Optional.empty();

  private CrashRecoveryBench(Path directory, PersistenceVariant variant, boolean quick)
      throws Exception {
    this.directory = directory;
    this.variant = variant;
    periodsBeforeKill = quick ? 30 : 60;
    config = createConfig(directory);
    channel =
        new SimulatedChannel(
            config.settings().channel().messageOverheadLines(),
            config.settings().channel().linesPerSecond(),
            clockUs::get);
  }

  private static AssignerConfig createConfig(Path directory) throws Exception {
    StringJoiner servers = new StringJoiner(",");
    for (int k = 0; k < SERVERS; k++) {
      String zone = k % ZONES == 0 ? "north" : "south";
      servers.add(TestPeers.endpointJson("s-" + k, "127.0.0.1:1", zone, "in_service", 0));
    }
    String json = new ExampleConfig().json();
    String listStart = "\"instances\": [";
    int from = json.indexOf(listStart) + listStart.length();
    int to = json.indexOf("]", from);
    return new ExampleConfig()
        .with(json.substring(from, to), servers.toString())
        .with("\"proxyCount\": 8", "\"proxyCount\": " + (PROXIES + ZONES))
        .read(directory);
  }

  public static void main(String[] args) throws Exception {
    boolean quick = args.length > 0;
    Path root = Files.createTempDirectory(Path.of("target"), "kill");
    List<PersistenceVariant> variants =
        quick
            ? List.of(PersistenceVariant.WITHOUT, PersistenceVariant.EACH)
            : List.of(PersistenceVariant.values());
    int rounds = quick ? 1 : 3;
    for (int round = 0; round < rounds; round++) {
      for (PersistenceVariant variant : variants) {
        Path directory = Files.createDirectory(root.resolve(variant.figureName() + round));
        new CrashRecoveryBench(directory, variant, quick).run();
      }
    }
  }

  private void run() throws Exception {
    startController();
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      join(proxy, true);
    }
    for (int k = 0; k < periodsBeforeKill; k++) {
      if (k == periodsBeforeKill - COUNTED_PERIODS) {
        channel.resetCounts();
      }
      runPeriod();
    }
    printSteadyState();
    kill();
    startController();
    long restartUs = clockUs.get();
    rejoinProxies();
    for (int k = 1; k <= PERIODS_AFTER_KILL; k++) {
      runPeriod();
      if (k == 2 * COUNTED_PERIODS) {
        print("kill_lines_20", (double) channel.lineCount(), "in_20_s");
      }
      if (k == COUNTED_PERIODS) {
        print("kill_messages", (double) channel.messageCount(), "in_10_s");
        print("kill_lines", (double) channel.lineCount(), "in_10_s");
      }
    }
    printConvergence(restartUs);
    durable.ifPresent(DurablePublisher::closeQuietly);
  }

  private void startController() throws Exception {
    durable = variant.open(config, directory, clockUs::get);
    controller =
        new Controller(
            config,
            FaastPolicy::new,
            clockUs::get,
            failure -> {},
            persistence(),
            Optional.empty()) {
          @Override
          public void awaitTick() {}
        };
    controller.connect(new NoOutboundCalls(), (peer, body) -> {});
    if (durable.isPresent()) {
      durable.get().start();
    }
    controller.start();
  }

  /** Discards outbound calls: the benchmark has neither a discovery service nor health checks. */
  private static final class NoOutboundCalls implements OutboundCalls {
    @Override
    public void watchEndpoints(boolean on, long since) {}

    @Override
    public void fetchEndpoints() {}

    @Override
    public void checkHealth(long server, String hostPort) {}
  }

  private Persistence persistence() {
    if (durable.isPresent()) {
      return durable.get();
    }
    return Persistence.none();
  }

  private void join(int proxy, boolean isFresh) {
    SimulatedChannel.Stream stream = channel.openStream(proxy);
    streams.put(proxy, stream);
    appliedUpdates.computeIfAbsent(proxy, number -> new AppliedUpdates(config.names().classes()));
    controller.onProxyJoined(stream, new Message.ProxyJoin(proxy, proxy % ZONES, 2.5, isFresh));
  }

  /** Simulates the crash, which ends all streams. Updates in the channel still arrive. */
  private void kill() {
    streams.clear();
    durable.ifPresent(DurablePublisher::closeQuietly);
    channel.resetCounts();
    clockUs.addAndGet(DOWNTIME_US);
  }

  /**
   * Rejoins all proxies within half a second. One additional proxy of each zone joins without
   * tables, as the reference for the correct tables.
   */
  private void rejoinProxies() throws InterruptedException {
    for (int zone = 0; zone < ZONES; zone++) {
      join(PROXIES + zone, true);
    }
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      join(proxy, false);
      if ((proxy + 1) % JOINS_PER_TICK == 0) {
        runTick();
        recordConvergedProxies();
      }
    }
  }

  private void runPeriod() throws InterruptedException {
    for (int k = 0; k < SERVERS; k++) {
      // Constant mean response times, of which the longest is about four times the shortest.
      long meanUs = 50_000 + 1_250L * k;
      for (int zone = 0; zone < ZONES; zone++) {
        controller.onLoadReport(
            new Message.LoadReport(zone, "s-" + k, 40, 0, meanUs, 1_000_000, new float[0]));
      }
    }
    for (int proxy : streams.keySet()) {
      controller.onUsageReport(new Message.UsageReport(proxy, 0, 15, 0, 1_000_000));
    }
    for (int k = 0; k < TICKS_PER_PERIOD; k++) {
      runTick();
      if (appliedUpdates.containsKey(PROXIES)) {
        recordConvergedProxies();
      }
    }
  }

  /** Advances the clock by one tick, delivers updates and runs an iteration. */
  private void runTick() throws InterruptedException {
    clockUs.addAndGet(config.settings().controlPeriodUs() / TICKS_PER_PERIOD);
    channel.deliverDue(this::applyAndAcknowledge);
    runIteration();
  }

  private void applyAndAcknowledge(SimulatedChannel.Delivery delivery) {
    SimulatedChannel.Stream stream = delivery.stream();
    AppliedUpdates applied = appliedUpdates.get(stream.proxy());
    delivery.parts().forEach(applied::apply);
    if (streams.get(stream.proxy()) == stream && !applied.ackNumbers.isEmpty()) {
      int lastAckNumber = applied.ackNumbers.get(applied.ackNumbers.size() - 1);
      controller.onAcknowledgement(
          stream,
          new Message.Acknowledgement(
              stream.proxy(), lastAckNumber, clockUs.get() - delivery.sentUs()));
    }
    applied.ackNumbers.clear();
  }

  private void runIteration() throws InterruptedException {
    controller.execute(() -> {});
    channel.onIterationStart();
    long startNs = System.nanoTime();
    controller.runIteration();
    long endNs = System.nanoTime();
    channel.onIterationEnd(endNs);
    iterationsNs.recordValue(endNs - startNs);
    while (durable.isPresent() && durable.get().pendingIterations() > 0) {
      Thread.sleep(0, 20_000);
    }
  }

  /**
   * Records the proxies whose tables have converged to those of the reference proxy of their zone.
   */
  private void recordConvergedProxies() {
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      AppliedUpdates reference = appliedUpdates.get(PROXIES + proxy % ZONES);
      if (!convergedAtUs.containsKey(proxy)
          && reference.updateCount > 0
          && hasSameTables(appliedUpdates.get(proxy), reference)) {
        convergedAtUs.put(proxy, clockUs.get());
        if (convergedAtUs.size() == PROXIES) {
          linesUntilConverged = channel.lineCount();
        }
      }
    }
  }

  private boolean hasSameTables(AppliedUpdates applied, AppliedUpdates reference) {
    return config.names().classes().stream()
        .allMatch(
            className ->
                applied.usableWeights(className).equals(reference.usableWeights(className)));
  }

  private void printSteadyState() {
    print("calm_messages", (double) channel.messageCount(), "in_10_s");
    print("calm_lines", (double) channel.lineCount(), "in_10_s");
    print("order_delay_p50", channel.sendDelayNs(50) / 1e3, "us");
    print("order_delay_p99", channel.sendDelayNs(99) / 1e3, "us");
    print("turn_p50", iterationsNs.getValueAtPercentile(50) / 1e3, "us");
    print("turn_p99", iterationsNs.getValueAtPercentile(99) / 1e3, "us");
  }

  private void printConvergence(long restartUs) {
    long[] durationsUs =
        convergedAtUs.values().stream().mapToLong(atUs -> atUs - restartUs).sorted().toArray();
    print("kill_right", durationsUs.length, "of_" + PROXIES);
    print("kill_lines_until_right", (double) linesUntilConverged, "count");
    if (durationsUs.length > 0) {
      print("kill_right_half", durationsUs[durationsUs.length / 2] / 1e6, "s");
      print("kill_right_all", durationsUs[durationsUs.length - 1] / 1e6, "s");
    }
  }

  private void print(String name, double value, String unit) {
    System.out.printf("%s_%s %.3f %s%n", variant.figureName(), name, value, unit);
  }
}
