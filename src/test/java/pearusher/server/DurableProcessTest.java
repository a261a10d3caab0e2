package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pearusher.control.UpdateChecker;

/** Assigner process with a store: repeated kills, and log lines quoted in the documentation. */
class DurableProcessTest {
  private static final int PROXIES = 6;
  private static final int SERVERS = 6;
  private static final int RUNS = 5;
  private static final long SLACK_US = 1_500_000;

  /** Position of a byte within the first record of a log. */
  private static final int OFFSET_IN_FIRST_RECORD = 80;

  @TempDir Path directory;
  private AssignerProcesses processes;
  private final UpdateChecker checker =
      new UpdateChecker(List.of("lookup", "order"), Set.of("order"), SLACK_US);
  private final String[] lifecycles = new String[SERVERS];
  private final List<Proxy> proxies = new ArrayList<>();
  private HttpStub discovery;
  private volatile StubRequest watch;
  private long generation = 50;
  private int port;
  private long killedUs;
  private Thread listThread;

  /** Proxy that passes updates to the checker and acknowledges them. */
  private final class Proxy extends RespClient {
    private final int number;

    Proxy(int number) throws IOException {
      super(address());
      this.number = number;
    }

    @Override
    void onMessage(List<String> words) throws IOException {
      int ackIndex = words.indexOf("ticket");
      synchronized (checker) {
        checker.onPart(number, words, nowUs());
      }
      if (ackIndex > 0) {
        send("applied proxy " + number + " mark " + words.get(ackIndex + 1) + " took_ms 0.0");
        synchronized (checker) {
          checker.onAcknowledged(number, nowUs());
        }
      }
    }
  }

  private static long nowUs() {
    return System.nanoTime() / 1000;
  }

  private InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  @BeforeEach
  void startDiscovery() throws IOException {
    processes = new AssignerProcesses(directory);
    Arrays.fill(lifecycles, "in_service");
    discovery = new HttpStub();
    listThread = new Thread(this::serveWatches);
    listThread.setDaemon(true);
    listThread.start();
    port = processes.holdPort();
  }

  private void serveWatches() {
    try {
      while (true) {
        StubRequest request = discovery.requests.take();
        synchronized (lifecycles) {
          request.startWatch();
          request.writeLine(listOf(0, SERVERS));
          watch = request;
        }
      }
    } catch (InterruptedException | IOException ended) {
      return;
    }
  }

  private String listOf(int from, int to) {
    String[] entries = new String[to - from];
    for (int server = from; server < to; server++) {
      String zone = server % 2 == 0 ? "north" : "south";
      entries[server - from] =
          TestPeers.endpointJson("s" + server, "127.0.0.1:1", zone, lifecycles[server], 0);
    }
    return TestPeers.endpointListJson(generation, entries.length == SERVERS, entries);
  }

  private void drain(int server) throws IOException {
    synchronized (lifecycles) {
      generation++;
      lifecycles[server] = "terminating";
      synchronized (checker) {
        checker.onListed("s" + server, true, nowUs());
      }
      watch.writeLine(listOf(server, server + 1));
    }
  }

  @AfterEach
  void stopAll() throws Exception {
    processes.close();
    listThread.interrupt();
    discovery.close();
  }

  private Process start(String name, String settings) throws IOException {
    Path file = Files.writeString(directory.resolve("p.conf"), settings);
    Map<String, String> environment =
        new ExampleConfig()
            .listen("127.0.0.1:" + port)
            .discovery(discovery.address())
            .with("\"reportEveryUs\": 1000000", "\"reportEveryUs\": 200000")
            .write(directory);
    return processes.serve(environment, name, "--settings", file.toString());
  }

  private Path storeDirectory() {
    return directory.resolve("store");
  }

  private String storeSettings(String more) {
    return "store {\n directory \"" + storeDirectory() + "\"\n" + more + "}\n";
  }

  private void joinProxies() throws Exception {
    proxies.clear();
    for (int number = 0; number < PROXIES; number++) {
      Proxy proxy = new Proxy(number);
      boolean isFresh;
      synchronized (checker) {
        isFresh = checker.applied(number).tables.get("lookup").weights.isEmpty();
        checker.onJoined(number, isFresh, killedUs);
      }
      proxy.startReading();
      proxy.send(
          "joined proxy "
              + number
              + " zone "
              + (number % 2 == 0 ? "north" : "south")
              + " weight 2.5 fresh "
              + (isFresh ? 1 : 0));
      proxies.add(proxy);
    }
  }

  private RespClient connectCollector() throws IOException {
    RespClient collector = new RespClient(address());
    collector.send("collector zone north");
    return collector;
  }

  private void sendReports(RespClient collector, Random random) throws IOException {
    for (int server = 0; server < SERVERS; server++) {
      collector.send(
          "heard zone north server s"
              + server
              + " tries 30 failed "
              + random.nextInt(9)
              + " mean_ms "
              + (40 + random.nextInt(300))
              + ".0 span_ms 200.0");
    }
  }

  private void kill(Process process, RespClient collector) throws Exception {
    process.destroyForcibly();
    AssignerProcesses.awaitExit(process);
    killedUs = nowUs();
    for (Proxy proxy : proxies) {
      TestPeers.awaitUntil(
          "the end of the connection of proxy " + proxy.number, () -> proxy.isEnded);
      proxy.close();
      synchronized (checker) {
        checker.onStreamClosed(proxy.number);
      }
    }
    collector.close();
  }

  @Test
  void killsDoNotRepeatOrTruncateUpdatesOrReinstateDrainedServers() throws Exception {
    Random random = new Random(4);
    for (int run = 0; run < RUNS; run++) {
      String name = "run" + run;
      String sync = run % 2 == 0 ? "" : " sync interval\n interval 10ms\n";
      Process process = start(name, storeSettings(sync));
      processes.awaitReady(name);
      String trust = run == 0 ? "it is new" : "all of it is trusted";
      processes.assertLogContains(name, "trust=\"" + trust + "\"");
      processes.assertLogContains(name, "epoch=" + (run + 1) + " ");
      joinProxies();
      RespClient collector = connectCollector();
      runRounds(run, collector, random);
      if (run % 2 == 1) {
        // All acknowledgements arrive before the kill, so no acknowledged update may be repeated.
        Thread.sleep(SLACK_US / 1000 + 300);
      }
      kill(process, collector);
      assertNoFaults(name);
    }
    assertTrue(
        checker.updates() > 60,
        checker.updates() + " updates, " + checker.deltasAtJoin() + " after a join");
    assertEquals(
        0,
        checker.completeTablesAtRejoin(),
        "complete tables sent to proxies that rejoined with their table");
    assertTrue(checker.deltasAtJoin() > 0);
  }

  private void runRounds(int run, RespClient collector, Random random) throws Exception {
    int rounds = 8 + random.nextInt(8);
    for (int round = 0; round < rounds; round++) {
      sendReports(collector, random);
      if (round == 3 && run > 0 && run < RUNS - 1) {
        drain(run);
      }
      Thread.sleep(100);
    }
  }

  private void assertNoFaults(String logName) {
    synchronized (checker) {
      for (int proxy = 0; proxy < PROXIES; proxy++) {
        checker.checkDraining(proxy, nowUs());
      }
      assertEquals(List.of(), checker.faults(), processes.log(logName));
    }
  }

  private List<Path> storeFiles() throws IOException {
    try (Stream<Path> files = Files.list(storeDirectory())) {
      return files.toList();
    }
  }

  private Path newestLog() throws IOException {
    return storeFiles().stream()
        .filter(file -> file.getFileName().toString().startsWith("log-"))
        .max(Path::compareTo)
        .orElseThrow();
  }

  private static void flipBit(Path path, int offset) throws IOException {
    try (RandomAccessFile file = new RandomAccessFile(path.toFile(), "rw")) {
      file.seek(offset);
      int original = file.read();
      file.seek(offset);
      file.write(original ^ 1);
    }
  }

  /** Covers a store that is in use, damaged, compacted, or whose directory is deleted. */
  @Test
  void logReportsTheStateOfTheStore() throws Exception {
    Process first = start("first", storeSettings(""));
    processes.awaitReady("first");
    joinProxies();
    TestPeers.awaitUntil("updates", () -> checker.updates() >= PROXIES);
    assertSecondStartIsRefused();
    first.destroy();
    assertEquals(0, AssignerProcesses.awaitExit(first));
    Path log = newestLog();
    flipBit(log, OFFSET_IN_FIRST_RECORD);
    assertDamagedStoreIsRefused(log);
    start("stopped", storeSettings(" damage stop\n compact-at 16KiB\n compact-times 1\n"));
    processes.awaitReady("stopped");
    processes.assertLogContains(
        "stopped", "WARN store damaged: sequence=0 lost=\"" + log.getFileName());
    joinProxies();
    RespClient collector = connectCollector();
    Random random = new Random(5);
    reportUntilLogged("INFO store compacted: took_ms=", collector, random);
    // Without its directory, the store cannot create the next log.
    for (Path file : storeFiles()) {
      Files.delete(file);
    }
    Files.delete(storeDirectory());
    reportUntilLogged("ERROR store abandoned: waiting=", collector, random);
    int updatesBefore = checker.updates();
    drain(1);
    TestPeers.awaitUntil("updates without a store", () -> checker.updates() > updatesBefore);
    assertEquals(
        1,
        processes.log("stopped").lines().filter(line -> line.contains("store abandoned")).count());
  }

  private void assertSecondStartIsRefused() throws Exception {
    Process second = start("second", storeSettings(""));
    assertEquals(1, AssignerProcesses.awaitExit(second));
    processes.assertLogContains(
        "second",
        "ERROR can't start on the store: store "
            + storeDirectory()
            + " is in use by another process; stop it, or name another directory");
  }

  private void assertDamagedStoreIsRefused(Path log) throws Exception {
    Process refused = start("refused", storeSettings(""));
    assertEquals(1, AssignerProcesses.awaitExit(refused));
    processes.assertLogContains(
        "refused",
        "is damaged: "
            + log.getFileName()
            + " at byte 36: record 1 can't be read, and it was confirmed; ");
  }

  private void reportUntilLogged(String text, RespClient collector, Random random)
      throws InterruptedException {
    BooleanSupplier isLogged =
        () -> {
          try {
            sendReports(collector, random);
            Thread.sleep(20);
          } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
          }
          return processes.log("stopped").contains(text);
        };
    TestPeers.awaitUntil(text, isLogged);
  }

  @Test
  void invalidSettingsPrintTheirPositionsAndExitWithStatusTwo() throws Exception {
    Process process = start("log", storeSettings(" sync evry\n patience 5\n"));
    assertEquals(2, AssignerProcesses.awaitExit(process));
    String file = directory.resolve("p.conf").toString();
    assertEquals(
        "pearusher: "
            + file
            + ":3:2: store.sync: 'evry' is not one of each, interval, none\n"
            + "pearusher: "
            + file
            + ":4:2: store.patience: '5' is not a duration; write one like 20ms, 5s or "
            + "10min\n",
        processes.log("log"));
  }
}
