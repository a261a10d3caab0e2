package pearusher.control;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import pearusher.config.AssignerConfig;
import pearusher.control.UpdateFault.Kind;
import pearusher.policy.FaastPolicy;
import pearusher.policy.Lifecycle;
import pearusher.protocol.Endpoint;
import pearusher.protocol.EndpointList;
import pearusher.protocol.Message;
import pearusher.server.AppliedUpdates;
import pearusher.server.ExampleConfig;
import pearusher.store.SimDisk;
import pearusher.store.Store;
import pearusher.store.StoreOptions;

/**
 * A controller with the real policy and a store on a simulated disk, over several lives: proxies
 * keep what they have applied, servers drain and return, and a checker reads every update. Time is
 * the test's; an iteration is over once the disk is done with it, or the power is cut.
 */
final class DurableSite {
  static final int PROXIES = 6;
  static final int SERVERS = 7;

  /** Steps after which an acknowledgement is beyond the slack of the checker. */
  static final int STEPS_BEYOND_SLACK = 8;

  private static final int ZONES = 2;
  private static final long START_US = 1_000_000_000_000_000L;
  private static final long STEP_US = 500_000;
  private static final long SLACK_US = 2_500_000;
  private static final long FIRST_GENERATION = 100;
  private static final int MAX_STEPS_PER_LIFE = 200;
  private static final StoreOptions OPTIONS =
      new StoreOptions(StoreOptions.Policy.EACH, 0, 4000, 2000, 2, StoreOptions.Damage.REFUSE);

  private final Path directory;
  private final AtomicLong clock;
  private final AssignerConfig config;
  private final Map<Integer, CheckedStream> streams = new HashMap<>();
  private final Map<String, Endpoint> endpoints = new HashMap<>();
  private final UpdateChecker checker;
  private SimDisk disk;
  private ManualController controller;
  private DurablePublisher publisher;
  private long generation = FIRST_GENERATION;
  private long killedUs;

  DurableSite(Path directory, SimDisk disk) throws Exception {
    this.directory = directory;
    this.disk = disk;
    clock = new AtomicLong(START_US);
    config = new ExampleConfig().read(directory);
    checker = new UpdateChecker(config.names().classes(), Set.of("order"), SLACK_US);
    for (int number = 0; number < SERVERS; number++) {
      endpoints.put(serverName(number), endpoint(number, Lifecycle.READY, 0));
    }
  }

  /** A stream whose updates go to the checker until it is cut off. */
  private final class CheckedStream implements ProxyStream {
    private final int proxy;
    private boolean isOpen = true;

    CheckedStream(int proxy) {
      this.proxy = proxy;
    }

    @Override
    public void send(byte[] message) {
      if (isOpen) {
        DecodedUpdate.parts(message).forEach(part -> checker.onPart(proxy, part, clock.get()));
      }
    }

    @Override
    public void onReplaced() {}
  }

  UpdateChecker checker() {
    return checker;
  }

  SimDisk disk() {
    return disk;
  }

  DurablePublisher publisher() {
    return publisher;
  }

  // Life of the process.

  void start() throws Exception {
    PersistenceOptions options =
        new PersistenceOptions(directory, OPTIONS, 30_000_000, 5_000_000, 600_000_000);
    publisher = new DurablePublisher(config, options, Store.open(disk, OPTIONS), clock::get);
    controller = new ManualController(config, FaastPolicy::new, clock::get, publisher);
    controller.connect(new ImmediateDiscovery(), (peer, body) -> {});
    publisher.start();
    controller.start();
    awaitDisk();
  }

  /** Discovery that answers a watch at once with the complete list. */
  private final class ImmediateDiscovery extends ManualController.NoOutboundCalls {
    @Override
    public void watchEndpoints(boolean isOn, long sinceGeneration) {
      List<Endpoint> all = List.copyOf(endpoints.values());
      controller.onEndpointList(new EndpointList(generation, true, all), true);
    }
  }

  /** Starts, and all proxies join and acknowledge what they are sent. */
  void startAndJoinAll(boolean isFresh) throws Exception {
    start();
    joinAll(isFresh);
    runCalmSteps(STEPS_BEYOND_SLACK);
  }

  /**
   * Runs lives that each end with a power cut at a random call of the disk, then a last one, and
   * compares what the proxies have applied in the end.
   */
  void runLives(int lives, Random random) throws Exception {
    for (int life = 0; life < lives; life++) {
      start();
      for (int proxy = 0; proxy < PROXIES; proxy++) {
        join(proxy, checker.lastAckNumber(proxy) == 0);
      }
      runIteration();
      disk.powerCutAtCall = disk.callCount + 40 + random.nextInt(60);
      int steps = 0;
      while (runStep(random) && steps < MAX_STEPS_PER_LIFE) {
        steps++;
      }
      cutPower(random);
    }
    start();
    joinAll(false);
    runSteps(8, random);
    compareWithCompleteTables();
  }

  void cutPower(Random random) {
    killedUs = clock.get();
    cutOffAllStreams();
    disk = disk.afterPowerCut(random);
    clock.addAndGet(300_000 + random.nextInt(2_000_000));
  }

  /** The process ends, and the next start finds what is on the disk. */
  void stopProcess() {
    killedUs = clock.get();
    cutOffAllStreams();
    publisher.closeQuietly();
  }

  /** Time passes between a process that has stopped and the next one. */
  void prepareRestart() {
    disk.kill();
    clock.addAndGet(2_000_000);
  }

  private void cutOffAllStreams() {
    streams.values().forEach(stream -> stream.isOpen = false);
    streams.clear();
  }

  // Proxies.

  void join(int proxy, boolean isFresh) {
    CheckedStream stream = new CheckedStream(proxy);
    streams.put(proxy, stream);
    checker.onJoined(proxy, isFresh, killedUs);
    controller.onProxyJoined(stream, new Message.ProxyJoin(proxy, proxy % ZONES, 2.5, isFresh));
  }

  void joinAll(boolean isFresh) {
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      join(proxy, isFresh);
    }
  }

  /** A stream breaks and its proxy reconnects: what was under way on the old one is lost. */
  void rejoin(int proxy) {
    CheckedStream previous = streams.get(proxy);
    previous.isOpen = false;
    controller.onStreamClosed(previous, proxy);
    long killedBeforeUs = killedUs;
    killedUs = clock.get();
    join(proxy, false);
    killedUs = killedBeforeUs;
  }

  private void acknowledge(int proxy) {
    controller.onAcknowledgement(
        streams.get(proxy), new Message.Acknowledgement(proxy, checker.lastAckNumber(proxy), 0));
    checker.onAcknowledged(proxy, clock.get());
  }

  /** Returns the servers to which a proxy may send. */
  Set<String> openServers(int proxy) {
    return checker.applied(proxy).usableWeights("lookup").keySet();
  }

  // Servers.

  static String serverName(int number) {
    return "s" + number;
  }

  private static Endpoint endpoint(int number, Lifecycle lifecycle, long startedUs) {
    return new Endpoint(
        serverName(number), "127.0.0.1:1", number % ZONES, 0, number, lifecycle, 1, startedUs);
  }

  /** A server starts draining, or returns in a new incarnation. */
  void toggle(int number) {
    Endpoint previous = endpoints.get(serverName(number));
    boolean startsDraining = previous.lifecycle() == Lifecycle.READY;
    Endpoint changed =
        startsDraining
            ? endpoint(number, Lifecycle.DRAINING, previous.startedUs())
            : endpoint(number, Lifecycle.READY, clock.get());
    endpoints.put(serverName(number), changed);
    checker.onListed(serverName(number), startsDraining, clock.get());
    controller.onEndpointList(new EndpointList(++generation, false, List.of(changed)), false);
  }

  /** All servers from one on start draining. */
  void drainFrom(int first) {
    for (int number = first; number < SERVERS; number++) {
      toggle(number);
    }
  }

  // Steps.

  /**
   * Runs an iteration and waits until the disk is done with it.
   *
   * @return false if the power was cut
   */
  boolean runIteration() throws InterruptedException {
    controller.runEmptyIteration();
    return awaitDisk();
  }

  private boolean awaitDisk() throws InterruptedException {
    while (publisher.pendingIterations() > 0) {
      if (disk.isPowerOff && !publisher.isRunning()) {
        return false;
      }
      Thread.sleep(0, 50_000);
    }
    return true;
  }

  void runSteps(int steps, Random random) throws InterruptedException {
    for (int step = 0; step < steps; step++) {
      runStep(random);
    }
  }

  /**
   * Runs half a second of ordinary load, with changes of servers and broken streams.
   *
   * @return false if the power was cut
   */
  boolean runStep(Random random) throws InterruptedException {
    clock.addAndGet(STEP_US);
    if (random.nextInt(5) == 0) {
      toggle(random.nextInt(SERVERS));
    }
    reportLoad(random);
    for (int proxy : streams.keySet()) {
      controller.onUsageReport(new Message.UsageReport(proxy, 0, 15, 0, 1_000_000));
      if (checker.hasUnacknowledged(proxy) && random.nextInt(4) > 0) {
        acknowledge(proxy);
      }
    }
    if (random.nextInt(6) == 0 && !streams.isEmpty()) {
      rejoin(random.nextInt(PROXIES));
    }
    if (!runIteration()) {
      return false;
    }
    streams.keySet().forEach(proxy -> checker.checkDraining(proxy, clock.get()));
    return true;
  }

  private void reportLoad(Random random) {
    for (String server : endpoints.keySet()) {
      for (int zone = 0; zone < ZONES; zone++) {
        int failed = random.nextInt(6);
        long meanUs = 60_000 + 9_000L * random.nextInt(9);
        controller.onLoadReport(
            new Message.LoadReport(zone, server, 20, failed, meanUs, 1_000_000, new float[0]));
      }
    }
  }

  /** Runs half seconds without load, in which every proxy acknowledges what it receives. */
  void runCalmSteps(int steps) throws InterruptedException {
    for (int step = 0; step < steps; step++) {
      clock.addAndGet(STEP_US);
      for (int proxy : streams.keySet()) {
        if (checker.hasUnacknowledged(proxy)) {
          acknowledge(proxy);
        }
      }
      if (!runIteration()) {
        throw new IllegalStateException("the power was cut");
      }
    }
  }

  /**
   * Two more proxies join without state, one in each zone, and are sent complete tables: every
   * other proxy of their zones must have applied the same by now.
   */
  void compareWithCompleteTables() throws InterruptedException {
    for (int zone = 0; zone < ZONES; zone++) {
      join(PROXIES + zone, true);
    }
    runIteration();
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      for (String requestClass : config.names().classes()) {
        compare(proxy, PROXIES + proxy % ZONES, requestClass);
      }
    }
  }

  private void compare(int proxy, int reference, String requestClass) {
    AppliedUpdates actual = checker.applied(proxy);
    AppliedUpdates expected = checker.applied(reference);
    String subject = "proxy " + proxy + " " + requestClass;
    Map<String, Float> weights = actual.usableWeights(requestClass);
    Map<String, Float> expectedWeights = expected.usableWeights(requestClass);
    if (!weights.equals(expectedWeights)) {
      String description = subject + ": " + weights + ", not " + expectedWeights;
      checker.faults().add(new UpdateFault(Kind.DIVERGED_WEIGHTS, description));
    }
    String level = String.valueOf(actual.tables.get(requestClass).level);
    String expectedLevel = String.valueOf(expected.tables.get(requestClass).level);
    if (!level.equals(expectedLevel)) {
      String description = subject + ": level " + level + ", not " + expectedLevel;
      checker.faults().add(new UpdateFault(Kind.DIVERGED_LEVEL, description));
    }
  }
}
