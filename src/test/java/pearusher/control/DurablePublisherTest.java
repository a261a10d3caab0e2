package pearusher.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
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
import pearusher.store.SimDisk;
import pearusher.store.Store;
import pearusher.store.StoreException;
import pearusher.store.StoreOptions;

/**
 * The exchange, the real module and the store over power cuts: proxies keep what they were told,
 * servers drain and come back, and a checker reads every order. Time is the test's; each turn ends
 * once the disk is done with it, or the power went.
 */
class DurablePublisherTest {
  private static final int PROXIES = 6;
  private static final int SERVERS = 7;

  /** Seeds of the days on which the disk fails. */
  private static final int DISK_SEEDS = 12;

  /** Half seconds after which an answer counts as heard of, see the slack of the checker. */
  private static final int STEPS_PAST_SLACK = 8;

  private static final StoreOptions EACH =
      new StoreOptions(StoreOptions.Policy.EACH, 0, 4000, 2000, 2, StoreOptions.Damage.REFUSE);

  @TempDir Path dir;
  private final AtomicLong clock = new AtomicLong(1_000_000_000_000_000L);
  private AssignerConfig config;
  private UpdateChecker check;
  private SimDisk disk;
  private Controller exchange;
  private DurablePublisher durable;
  private final Map<Integer, Holder> streams = new HashMap<>();
  private final Map<String, Endpoint> list = new HashMap<>();
  private long generation = 100;
  private long killed;

  private final class Holder implements ProxyStream {
    private final int proxy;
    private boolean open = true;

    Holder(int proxy) {
      this.proxy = proxy;
    }

    @Override
    public void send(byte[] message) {
      if (!open) {
        return;
      }
      try (RespReader reader = new RespReader(RespReader.MAX_MESSAGE_BYTES)) {
        ByteBuffer from = ByteBuffer.wrap(message);
        for (List<String> words = reader.next(from); words != null; words = reader.next(from)) {
          check.part(proxy, words, clock.get());
        }
      } catch (RespException e) {
        throw new IllegalStateException(e);
      }
    }

    @Override
    public void onReplaced() {}
  }

  @BeforeEach
  void world() throws Exception {
    config = new ExampleConfig().read(dir);
    check = new UpdateChecker(config.names().classes(), Set.of("order"), 2_500_000);
    for (int k = 0; k < SERVERS; k++) {
      list.put("s" + k, instance("s" + k, Lifecycle.READY, 0));
    }
  }

  private Endpoint instance(String name, Lifecycle state, long started) {
    int k = Integer.parseInt(name.substring(1));
    return new Endpoint(name, "127.0.0.1:1", k % 2, 0, k, state, 1, started);
  }

  private void start() throws Exception {
    PersistenceOptions keeping =
        new PersistenceOptions(dir, EACH, 30_000_000, 5_000_000, 600_000_000);
    durable = new DurablePublisher(config, keeping, Store.open(disk, EACH), clock::get);
    exchange =
        new Controller(
            config, FaastPolicy::new, clock::get, failure -> {}, durable, Optional.empty()) {
          @Override
          public void awaitTick() {}
        };
    exchange.connect(
        new OutboundCalls() {
          @Override
          public void watchEndpoints(boolean on, long since) {
            // Discovery answers at once with the whole list.
            exchange.onEndpointList(
                new EndpointList(generation, true, List.copyOf(list.values())), true);
          }

          @Override
          public void fetchEndpoints() {}

          @Override
          public void checkHealth(long server, String hostPort) {}
        },
        (peer, body) -> {});
    durable.start();
    exchange.start();
    settle();
  }

  /** Waits until the disk has done with the turn; false once the power went. */
  private boolean settle() throws InterruptedException {
    while (durable.pendingIterations() > 0) {
      if (disk.isPowerOff && !durable.isRunning()) {
        return false;
      }
      Thread.sleep(0, 50_000);
    }
    return true;
  }

  private void turn() throws InterruptedException {
    exchange.execute(() -> {});
    exchange.runIteration();
  }

  private void join(int proxy, boolean fresh) {
    Holder now = new Holder(proxy);
    streams.put(proxy, now);
    check.joined(proxy, fresh, killed);
    exchange.onProxyJoined(now, new Message.ProxyJoin(proxy, proxy % 2, 2.5, fresh));
  }

  /** A stream breaks and its proxy dials again: what was on its way to the old one is lost. */
  private void rejoin(int proxy) {
    Holder old = streams.get(proxy);
    old.open = false;
    exchange.onStreamClosed(old, proxy);
    long before = killed;
    killed = clock.get();
    join(proxy, false);
    killed = before;
  }

  private void change(String name) {
    boolean ready = list.get(name).lifecycle() == Lifecycle.READY;
    Endpoint now =
        instance(
            name,
            ready ? Lifecycle.DRAINING : Lifecycle.READY,
            ready ? list.get(name).startedUs() : clock.get());
    list.put(name, now);
    check.listed(name, ready, clock.get());
    exchange.onEndpointList(new EndpointList(++generation, false, List.of(now)), false);
  }

  /** Half a second of an ordinary day; false once the power went. */
  private boolean step(Random random) throws InterruptedException {
    clock.addAndGet(500_000);
    if (random.nextInt(5) == 0) {
      change("s" + random.nextInt(SERVERS));
    }
    for (String name : list.keySet()) {
      for (int zone = 0; zone < 2; zone++) {
        exchange.onLoadReport(
            new Message.LoadReport(
                zone,
                name,
                20,
                random.nextInt(6),
                60_000 + 9_000L * random.nextInt(9),
                1_000_000,
                new float[0]));
      }
    }
    for (int proxy : streams.keySet()) {
      exchange.onUsageReport(new Message.UsageReport(proxy, 0, 15, 0, 1_000_000));
      if (check.unanswered(proxy) && random.nextInt(4) > 0) {
        exchange.onAcknowledgement(
            streams.get(proxy), new Message.Acknowledgement(proxy, check.mark(proxy), 0));
        check.answered(proxy, clock.get());
      }
    }
    if (random.nextInt(6) == 0 && !streams.isEmpty()) {
      rejoin(random.nextInt(PROXIES));
    }
    turn();
    if (!settle()) {
      return false;
    }
    streams.keySet().forEach(proxy -> check.drained(proxy, clock.get()));
    return true;
  }

  /**
   * Lives of an assigner that end with the power cut at a call; what is wrong at the end, or empty.
   */
  private List<String> lives(long seed, int lives, SimDisk.SkippedSync... lies) throws Exception {
    Random random = new Random(seed);
    disk = new SimDisk(lies);
    try {
      for (int life = 0; life < lives; life++) {
        start();
        for (int proxy = 0; proxy < PROXIES; proxy++) {
          join(proxy, check.mark(proxy) == 0);
        }
        turn();
        settle();
        disk.powerCutAtCall = disk.callCount + 40 + random.nextInt(60);
        int steps = 0;
        while (step(random) && steps < 200) {
          steps++;
        }
        cutPower(random);
      }
      start();
      for (int proxy = 0; proxy < PROXIES; proxy++) {
        join(proxy, false);
      }
      for (int k = 0; k < 8; k++) {
        step(random);
      }
    } catch (StoreException refused) {
      check.faults.add(refused.getMessage());
      return check.faults;
    }
    compare();
    return check.faults;
  }

  private void cutPower(Random random) {
    killed = clock.get();
    streams.values().forEach(s -> s.open = false);
    streams.clear();
    disk = disk.afterPowerCut(random);
    clock.addAndGet(300_000 + random.nextInt(2_000_000));
  }

  private void compare() throws Exception {
    // One that holds nothing gets the table whole: every other of its zone must hold the same by
    // now.
    for (int proxy = PROXIES; proxy < PROXIES + 2; proxy++) {
      join(proxy, true);
    }
    turn();
    settle();
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      for (String grade : config.names().classes()) {
        Map<String, Float> mine = check.held(proxy).open(grade);
        Map<String, Float> whole = check.held(PROXIES + proxy % 2).open(grade);
        if (!mine.equals(whole)) {
          check.faults.add("proxy " + proxy + " " + grade + " holds " + mine + ", not " + whole);
        }
        TestPeers.AppliedTable held = check.held(proxy).by.get(grade);
        TestPeers.AppliedTable all = check.held(PROXIES + proxy % 2).by.get(grade);
        if (!String.valueOf(held.level).equals(String.valueOf(all.level))) {
          check.faults.add(
              "proxy " + proxy + " " + grade + " level " + held.level + ", not " + all.level);
        }
      }
    }
  }

  @Test
  void overPowerCutsNoOrderIsGivenTwiceOrHalfOrLost() throws Exception {
    int orders = 0;
    int deltas = 0;
    for (long seed = 1; seed <= 25; seed++) {
      world();
      assertEquals(List.of(), lives(seed, 4), "seed " + seed);
      orders += check.orders;
      deltas += check.deltas;
    }
    assertTrue(
        orders > 1000 && deltas > 100, orders + " orders, " + deltas + " deltas to who rejoined");
  }

  /** Half seconds without a change, in which every proxy answers for what it got. */
  private void calm(int steps) throws InterruptedException {
    for (int k = 0; k < steps; k++) {
      clock.addAndGet(500_000);
      for (int proxy : streams.keySet()) {
        if (check.unanswered(proxy)) {
          exchange.onAcknowledgement(
              streams.get(proxy), new Message.Acknowledgement(proxy, check.mark(proxy), 0));
          check.answered(proxy, clock.get());
        }
      }
      turn();
      assertTrue(settle(), "the power is on");
    }
  }

  private void startAndJoin(boolean fresh) throws Exception {
    start();
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      join(proxy, fresh);
    }
    calm(STEPS_PAST_SLACK);
  }

  /**
   * With one server left: the answers were durable, so that neither end of a stream takes them
   * back.
   */
  @Test
  void whoAnsweredForATableWithALineGetsNoWholeTableAfterABrokenStreamOrAPowerCut()
      throws Exception {
    disk = new SimDisk();
    startAndJoin(true);
    for (int k = 1; k < SERVERS; k++) {
      change("s" + k);
    }
    calm(STEPS_PAST_SLACK);
    rejoin(2);
    calm(STEPS_PAST_SLACK);
    cutPower(new Random(1));
    startAndJoin(false);
    assertEquals(Set.of("s0"), check.held(2).open("lookup").keySet());
    change("s0");
    calm(STEPS_PAST_SLACK);
    assertEquals(List.of(), check.faults);
    assertEquals(0, check.wholes);
    assertEquals(Set.of(), check.held(2).open("lookup").keySet());
  }

  /** A table without a line binds nobody: who joins then is bound as a server is back. */
  @Test
  void whoJoinsAgainWhileNoServerIsLeftGetsItsTableWholeOnceAServerIsBack() throws Exception {
    disk = new SimDisk();
    startAndJoin(true);
    for (int k = 0; k < SERVERS; k++) {
      change("s" + k);
    }
    calm(STEPS_PAST_SLACK);
    int before = check.orders;
    rejoin(2);
    calm(STEPS_PAST_SLACK);
    assertEquals(before, check.orders, "orders while there is nothing to order");
    change("s3");
    calm(STEPS_PAST_SLACK);
    assertEquals(List.of(), check.faults);
    assertEquals(1, check.wholes, "whole tables, to proxy 2 alone");
    assertEquals(Set.of("s3"), check.held(2).open("lookup").keySet());
  }

  private boolean seen(SimDisk.SkippedSync lie) throws Exception {
    for (long seed = 1; seed <= 25; seed++) {
      world();
      if (!lives(seed, 4, lie).isEmpty()) {
        return true;
      }
    }
    return false;
  }

  /** Orders go out before they are on the device: marks fall back, and tables with them. */
  @Test
  void withoutTheSyncTheCheckerFails() throws Exception {
    assertTrue(seen(SimDisk.SkippedSync.FILE));
  }

  @Test
  void withoutTheSyncBeforeTheRenameTheCheckerFails() throws Exception {
    assertTrue(seen(SimDisk.SkippedSync.UNFINISHED_FILE));
  }

  /**
   * A disk that fails: orders go on from memory, and the next start does not believe what it finds.
   */
  private List<String> failingDisk(long seed, boolean marked) throws Exception {
    world();
    streams.clear();
    disk = new SimDisk();
    start();
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      join(proxy, true);
    }
    turn();
    Random random = new Random(seed);
    for (int k = 0; k < 6; k++) {
      step(random);
    }
    int before = check.orders;
    // A write of the log, which ends the store: a compaction that fails at this call would not.
    disk.callListener =
        (what, name) -> {
          if (disk.failAtCall < 0 && what.equals("write") && name.startsWith("log-")) {
            disk.failAtCall = disk.callCount;
          }
        };
    for (int k = 0; k < 30; k++) {
      step(random);
    }
    assertTrue(check.orders > before + 3, check.orders + " orders");
    assertEquals(0, durable.pendingIterations());
    if (marked) {
      while (!disk.list().contains("given-up")) {
        Thread.sleep(1);
      }
    }
    killed = clock.get();
    streams.values().forEach(s -> s.open = false);
    streams.clear();
    durable.closeQuietly();
    if (!marked) {
      while (!disk.list().contains("given-up")) {
        Thread.sleep(1);
      }
      disk.delete("given-up");
    }
    disk.kill();
    clock.addAndGet(2_000_000);
    start();
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      join(proxy, false);
    }
    turn();
    for (int k = 0; k < 8; k++) {
      step(random);
    }
    compare();
    return check.faults;
  }

  @Test
  void aDiskThatFailsCostsNoOrderAndTheNextStartKnows() throws Exception {
    for (long seed = 1; seed <= DISK_SEEDS; seed++) {
      List<String> faults = failingDisk(seed, true);
      // Whole tables, and marks that begin where the store ended, are what the next start has to do
      // with.
      faults.removeIf(
          f -> f.contains("whole though") || f.contains("ordered twice") || f.contains("mark"));
      assertEquals(List.of(), faults, "seed " + seed);
      assertTrue(!disk.list().contains("given-up"), "the store is its own again");
    }
  }

  @Test
  void withoutTheMarkOfAStoreGivenUpTheCheckerFails() throws Exception {
    boolean seen = false;
    for (long seed = 1; seed <= DISK_SEEDS && !seen; seed++) {
      seen = failingDisk(seed, false).stream().anyMatch(f -> f.contains("holds"));
    }
    assertTrue(seen, "a proxy that holds something else than the others");
  }

  /** The lines of the operators' page that no process shows at will. */
  @Test
  void theLogTellsOfCutsAndOfADiskThatRefuses() throws Exception {
    PrintStream out = System.out;
    ByteArrayOutputStream log = new ByteArrayOutputStream();
    System.setOut(new PrintStream(log, true, StandardCharsets.UTF_8));
    try {
      for (long seed = 1; !log.toString(StandardCharsets.UTF_8).contains("store end cut"); seed++) {
        world();
        lives(seed, 2);
      }
      Map<String, String> refusals =
          Map.of(
              "create .tmp",
              "WARN store not compacted: cause=\"",
              "create given-up",
              "ERROR store not marked as given up, begin the next start with an empty "
                  + "directory: cause=\"",
              "sync log-",
              "WARN store not closed: cause=\"");
      for (Map.Entry<String, String> one : refusals.entrySet()) {
        world();
        disk = new SimDisk();
        start();
        join(1, true);
        turn();
        settle();
        String[] at = one.getKey().split(" ");
        disk.callListener =
            (what, name) -> {
              if (what.equals(at[0]) && name.contains(at[1])) {
                disk.failAtCall = disk.callCount;
              }
            };
        Random random = new Random(5);
        if (at[1].equals("given-up")) {
          disk.failAtCall = disk.callCount + 1;
        }
        for (int k = 0; k < 30 && !at[0].equals("sync"); k++) {
          step(random);
        }
        durable.closeQuietly();
        TestPeers.until(
            one.getValue(), () -> log.toString(StandardCharsets.UTF_8).contains(one.getValue()));
      }
      assertTrue(
          log.toString(StandardCharsets.UTF_8)
              .matches("(?s).*INFO store end cut: sequence=\\d+ bytes=\\d+ records=\\d+\n.*"));
    } finally {
      System.setOut(out);
    }
  }
}
