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
 * A controller with the real policy and a store on a simulated disk, over several successive
 * processes. Simulated proxies retain the updates they have applied, servers drain and return, and
 * a checker reads every update. The clock is simulated. An iteration is complete once the disk has
 * processed it or the power is cut.
 */
final class DurableControllerFixture {
  static final int PROXIES = 6;
  static final int SERVERS = 7;

  /** Number of steps after which an acknowledgement is older than the slack of the checker. */
  static final int STEPS_BEYOND_SLACK = 8;

  private static final int ZONES = 2;
  private static final long START_US = 1_000_000_000_000_000L;
  private static final long STEP_US = 500_000;
  private static final long SLACK_US = 2_500_000;
  private static final long FIRST_GENERATION = 100;
  private static final int MAX_STEPS_PER_PROCESS = 200;
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

  DurableControllerFixture(Path directory, SimDisk disk) throws Exception {
    this.directory = directory;
    this.disk = disk;
    clock = new AtomicLong(START_US);
    config = new ExampleConfig().read(directory);
    checker = new UpdateChecker(config.names().classes(), Set.of("order"), SLACK_US);
    for (int number = 0; number < SERVERS; number++) {
      endpoints.put(serverName(number), endpoint(number, Lifecycle.READY, 0));
    }
  }

  /** A stream that passes its updates to the checker until it is disconnected. */
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

  /** Starts a process on the present content of the disk. */
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

  /** Discovery that answers each watch immediately with the complete list. */
  private final class ImmediateDiscovery extends ManualController.NoOutboundCalls {
    @Override
    public void watchEndpoints(boolean isOn, long sinceGeneration) {
      List<Endpoint> all = List.copyOf(endpoints.values());
      controller.onEndpointList(new EndpointList(generation, true, all), true);
    }
  }

  /** Starts a process; all proxies join and acknowledge the updates they receive. */
  void startAndJoinAll(boolean isFresh) throws Exception {
    start();
    joinAll(isFresh);
    runIdleSteps(STEPS_BEYOND_SLACK);
  }

  /**
   * Runs processes that each end with a power cut at a random disk call, then a last process
   * without one, and finally compares the tables that the proxies have applied.
   */
  void runWithPowerCuts(int powerCuts, Random random) throws Exception {
    for (int powerCut = 0; powerCut < powerCuts; powerCut++) {
      start();
      for (int proxy = 0; proxy < PROXIES; proxy++) {
        join(proxy, checker.lastAckNumber(proxy) == 0);
      }
      runIteration();
      disk.powerCutAtCall = disk.callCount + 40 + random.nextInt(60);
      int steps = 0;
      while (runStep(random) && steps < MAX_STEPS_PER_PROCESS) {
        steps++;
      }
      cutPower(random);
    }
    start();
    joinAll(false);
    runSteps(8, random);
    compareWithCompleteTables();
  }

  /** Cuts the power: unsynchronized data may be lost, and all streams are disconnected. */
  void cutPower(Random random) {
    killedUs = clock.get();
    disconnectAllStreams();
    disk = disk.afterPowerCut(random);
    clock.addAndGet(300_000 + random.nextInt(2_000_000));
  }

  /** Stops the process; the next start reads the state that is on the disk. */
  void stopProcess() {
    killedUs = clock.get();
    disconnectAllStreams();
    publisher.closeQuietly();
  }

  /** Ends the disk access of a stopped process and advances the clock to the next start. */
  void prepareRestart() {
    disk.kill();
    clock.addAndGet(2_000_000);
  }

  private void disconnectAllStreams() {
    streams.values().forEach(stream -> stream.isOpen = false);
    streams.clear();
  }

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

  /** Reconnects a proxy; messages in transit on its previous stream are lost. */
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

  /** Returns the servers to which a proxy may send requests. */
  Set<String> usableServers(int proxy) {
    return checker.applied(proxy).usableWeights("lookup").keySet();
  }

  static String serverName(int number) {
    return "s" + number;
  }

  private static Endpoint endpoint(int number, Lifecycle lifecycle, long startedUs) {
    return new Endpoint(
        serverName(number), "127.0.0.1:1", number % ZONES, 0, number, lifecycle, 1, startedUs);
  }

  /** Lists a ready server as draining, or a draining server as ready and restarted. */
  void toggleDraining(int number) {
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

  /** Lists all servers with the given number or a higher one as draining. */
  void drainFrom(int first) {
    for (int number = first; number < SERVERS; number++) {
      toggleDraining(number);
    }
  }

  /**
   * Runs an iteration and waits until the disk has processed it.
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
   * Runs half a second of normal load, with random lifecycle changes of servers and reconnects.
   *
   * @return false if the power was cut
   */
  boolean runStep(Random random) throws InterruptedException {
    clock.addAndGet(STEP_US);
    if (random.nextInt(5) == 0) {
      toggleDraining(random.nextInt(SERVERS));
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

  /** Runs steps of half a second without load; every proxy acknowledges its updates. */
  void runIdleSteps(int steps) throws InterruptedException {
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
   * Joins one additional proxy without state per zone, which is sent the complete tables. Reports a
   * fault for each proxy whose applied tables differ from those of the new proxy of its zone.
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
