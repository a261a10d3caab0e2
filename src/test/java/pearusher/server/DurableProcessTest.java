package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pearusher.control.UpdateChecker;

/**
 * The real process with a store: killed again and again, and each line that the operators' page
 * quotes.
 */
class DurableProcessTest {
  private static final int PROXIES = 6;
  private static final int SERVERS = 6;
  private static final long SLACK_US = 1_500_000;

  @TempDir Path directory;
  private final List<Process> processes = new ArrayList<>();
  private final UpdateChecker checker =
      new UpdateChecker(List.of("lookup", "order"), Set.of("order"), SLACK_US);
  private final String[] lifecycle = new String[SERVERS];
  private final List<Proxy> proxies = new ArrayList<>();
  private HttpStub discovery;
  private volatile StubRequest watch;
  private long generation = 50;
  private int port;
  private long killedUs;
  private Thread listThread;

  /** A relay: its orders go to the checker, its marks are answered. */
  private final class Proxy extends RespClient {
    private final int number;

    Proxy(int number) throws IOException {
      super(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      this.number = number;
    }

    @Override
    void onMessage(List<String> words) throws IOException {
      int ticket = words.indexOf("ticket");
      synchronized (checker) {
        checker.onPart(number, words, nowUs());
      }
      if (ticket > 0) {
        send("applied proxy " + number + " mark " + words.get(ticket + 1) + " took_ms 0.0");
        synchronized (checker) {
          checker.onAcknowledged(number, nowUs());
        }
      }
    }
  }

  private static long nowUs() {
    return System.nanoTime() / 1000;
  }

  @BeforeEach
  void startDiscovery() throws IOException {
    java.util.Arrays.fill(lifecycle, "in_service");
    discovery = new HttpStub();
    listThread =
        new Thread(
            () -> {
              try {
                while (true) {
                  StubRequest proxy = discovery.requests.take();
                  synchronized (lifecycle) {
                    proxy.startWatch();
                    proxy.writeLine(listOf(0, SERVERS));
                    watch = proxy;
                  }
                }
              } catch (InterruptedException | IOException ended) {
                return;
              }
            });
    listThread.setDaemon(true);
    listThread.start();
    try (ServerSocket free = new ServerSocket(0)) {
      port = free.getLocalPort();
    }
  }

  private String listOf(int from, int to) {
    String[] some = new String[to - from];
    for (int k = from; k < to; k++) {
      some[k - from] =
          TestPeers.instance(
              "s" + k, "127.0.0.1:1", k % 2 == 0 ? "north" : "south", lifecycle[k], 0);
    }
    return TestPeers.listing(generation, to - from == SERVERS, some);
  }

  private void drain(int server) throws IOException {
    synchronized (lifecycle) {
      generation++;
      lifecycle[server] = "terminating";
      synchronized (checker) {
        checker.onListed("s" + server, true, nowUs());
      }
      watch.writeLine(listOf(server, server + 1));
    }
  }

  @AfterEach
  void stopAll() throws Exception {
    processes.forEach(Process::destroyForcibly);
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
    ProcessBuilder builder =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "pearusher.cli.Main",
                "serve",
                "--settings",
                file.toString())
            .redirectErrorStream(true)
            .redirectOutput(directory.resolve(name).toFile());
    builder.environment().keySet().removeIf(k -> k.startsWith("EDGE_"));
    builder.environment().putAll(environment);
    Process out = builder.start();
    processes.add(out);
    return out;
  }

  private String log(String name) {
    try {
      return Files.readString(directory.resolve(name), StandardCharsets.UTF_8);
    } catch (IOException e) {
      return "";
    }
  }

  private String storeSettings(String more) {
    return "store {\n directory \"" + directory.resolve("store") + "\"\n" + more + "}\n";
  }

  private void joinProxies() throws Exception {
    proxies.clear();
    for (int k = 0; k < PROXIES; k++) {
      Proxy proxy = new Proxy(k);
      boolean fresh;
      synchronized (checker) {
        fresh = checker.applied(k).by.get("lookup").lines.isEmpty();
        checker.onJoined(k, fresh, killedUs);
      }
      proxy.startReading();
      proxy.send(
          "joined proxy "
              + k
              + " zone "
              + (k % 2 == 0 ? "north" : "south")
              + " weight 2.5 fresh "
              + (fresh ? 1 : 0));
      proxies.add(proxy);
    }
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
    assertTrue(process.waitFor(20, TimeUnit.SECONDS));
    killedUs = nowUs();
    for (Proxy proxy : proxies) {
      TestPeers.until("its end", () -> proxy.isEnded);
      proxy.close();
      synchronized (checker) {
        checker.onStreamClosed(proxy.number);
      }
    }
    collector.close();
  }

  @Test
  void killsNeitherRepeatNorTruncateCommandsNorReviveDrainedServers() throws Exception {
    Random random = new Random(4);
    for (int run = 0; run < 5; run++) {
      String name = "life" + run;
      Process process =
          start(name, storeSettings(run % 2 == 0 ? "" : " sync interval\n interval 10ms\n"));
      TestPeers.until("ready", () -> log(name).contains("INFO ready: n0"));
      assertTrue(
          log(name).contains(run == 0 ? "trust=\"it is new\"" : "trust=\"all of it is trusted\""),
          log(name));
      assertTrue(log(name).contains("epoch=" + (run + 1) + " "), log(name));
      joinProxies();
      RespClient collector =
          new RespClient(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      collector.send("collector zone north");
      int rounds = 8 + random.nextInt(8);
      for (int round = 0; round < rounds; round++) {
        sendReports(collector, random);
        if (round == 3 && run > 0 && run < 4) {
          drain(run);
        }
        Thread.sleep(100);
      }
      if (run % 2 == 1) {
        // All answers have surely been heard by the kill: nothing of them may come again.
        Thread.sleep(SLACK_US / 1000 + 300);
      }
      kill(process, collector);
      synchronized (checker) {
        for (int k = 0; k < PROXIES; k++) {
          checker.checkDraining(k, nowUs());
        }
        assertEquals(List.of(), checker.faults(), log(name));
      }
    }
    assertTrue(
        checker.updates() > 60,
        checker.updates() + " orders, " + checker.deltasAtJoin() + " to who rejoined");
    assertEquals(0, checker.completeTablesAtRejoin(), "who holds its table gets what it lacks");
    assertTrue(checker.deltasAtJoin() > 0);
  }

  private Path newestLog() throws IOException {
    try (Stream<Path> files = Files.list(directory.resolve("store"))) {
      return files
          .filter(f -> f.getFileName().toString().startsWith("log-"))
          .max(Path::compareTo)
          .orElseThrow();
    }
  }

  /** An orderly end, a damaged byte, a cut end, a copy, and a disk that goes away. */
  @Test
  void logReportsTheStateOfTheStore() throws Exception {
    Process first = start("first", storeSettings(""));
    TestPeers.until("ready", () -> log("first").contains("INFO ready: n0"));
    joinProxies();
    TestPeers.until("orders", () -> checker.updates() >= PROXIES);
    Process second = start("second", storeSettings(""));
    assertEquals(1, awaitExit(second));
    assertTrue(
        log("second")
            .contains(
                "ERROR can't start on the store: store "
                    + directory.resolve("store")
                    + " is in use by another process; stop it, or name another directory"),
        log("second"));
    first.destroy();
    assertEquals(0, awaitExit(first));
    Path log = newestLog();
    try (RandomAccessFile file = new RandomAccessFile(log.toFile(), "rw")) {
      file.seek(80);
      int was = file.read();
      file.seek(80);
      file.write(was ^ 1);
    }
    Process refused = start("refused", storeSettings(""));
    assertEquals(1, awaitExit(refused));
    assertTrue(
        log("refused")
            .contains(
                "is damaged: "
                    + log.getFileName()
                    + " at byte 36: record 1 can't be "
                    + "read, and it was confirmed; "),
        log("refused"));
    start("stopped", storeSettings(" damage stop\n compact-at 16KiB\n compact-times 1\n"));
    TestPeers.until("ready", () -> log("stopped").contains("INFO ready: n0"));
    assertTrue(
        log("stopped").contains("WARN store damaged: sequence=0 lost=\"" + log.getFileName()),
        log("stopped"));
    joinProxies();
    RespClient collector =
        new RespClient(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    collector.send("collector zone north");
    Random random = new Random(5);
    TestPeers.until(
        "a compaction",
        () -> {
          try {
            sendReports(collector, random);
            Thread.sleep(20);
          } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
          }
          return log("stopped").contains("INFO store compacted: took_ms=");
        });
    // The directory goes away under it: the next log can't be begun.
    try (Stream<Path> files = Files.list(directory.resolve("store"))) {
      for (Path proxy : files.toList()) {
        Files.delete(proxy);
      }
    }
    Files.delete(directory.resolve("store"));
    TestPeers.until(
        "given up",
        () -> {
          try {
            sendReports(collector, random);
            Thread.sleep(20);
          } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
          }
          return log("stopped").contains("ERROR store given up: waiting=");
        });
    int before = checker.updates();
    drain(1);
    TestPeers.until("orders without a store", () -> checker.updates() > before);
    assertEquals(1, log("stopped").lines().filter(l -> l.contains("store given up")).count());
  }

  private static int awaitExit(Process process) throws Exception {
    assertTrue(process.waitFor(20, TimeUnit.SECONDS), "it doesn't end");
    return process.exitValue();
  }

  @Test
  void invalidSettingsAreStatusTwoWithTheirPlaces() throws Exception {
    Process process = start("log", storeSettings(" sync evry\n patience 5\n"));
    assertEquals(2, awaitExit(process));
    String file = directory.resolve("p.conf").toString();
    assertEquals(
        "pearusher: "
            + file
            + ":3:2: store.sync: 'evry' is not one of each, interval, none\n"
            + "pearusher: "
            + file
            + ":4:2: store.patience: '5' is not a duration; write one like 20ms, 5s or "
            + "10min\n",
        log("log"));
  }
}
