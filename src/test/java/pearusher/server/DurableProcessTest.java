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

  @TempDir Path dir;
  private final List<Process> started = new ArrayList<>();
  private final UpdateChecker check =
      new UpdateChecker(List.of("lookup", "order"), Set.of("order"), SLACK_US);
  private final String[] lifecycle = new String[SERVERS];
  private final List<Proxy> proxies = new ArrayList<>();
  private TestPeers.HttpStub discovery;
  private volatile TestPeers.Request watch;
  private long generation = 50;
  private int port;
  private long killed;
  private Thread lists;

  /** A relay: its orders go to the checker, its marks are answered. */
  private final class Proxy extends TestPeers.RespClient {
    private final int number;

    Proxy(int number) throws IOException {
      super(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      this.number = number;
    }

    @Override
    void message(List<String> words) throws IOException {
      int ticket = words.indexOf("ticket");
      synchronized (check) {
        check.onPart(number, words, now());
      }
      if (ticket > 0) {
        send("applied proxy " + number + " mark " + words.get(ticket + 1) + " took_ms 0.0");
        synchronized (check) {
          check.onAcknowledged(number, now());
        }
      }
    }
  }

  private static long now() {
    return System.nanoTime() / 1000;
  }

  @BeforeEach
  void discovery() throws IOException {
    java.util.Arrays.fill(lifecycle, "in_service");
    discovery = new TestPeers.HttpStub();
    lists =
        new Thread(
            () -> {
              try {
                while (true) {
                  TestPeers.Request one = discovery.calls.take();
                  synchronized (lifecycle) {
                    one.beginWatch();
                    one.line(list(0, SERVERS));
                    watch = one;
                  }
                }
              } catch (InterruptedException | IOException ended) {
                return;
              }
            });
    lists.setDaemon(true);
    lists.start();
    try (ServerSocket free = new ServerSocket(0)) {
      port = free.getLocalPort();
    }
  }

  private String list(int from, int to) {
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
      synchronized (check) {
        check.onListed("s" + server, true, now());
      }
      watch.line(list(server, server + 1));
    }
  }

  @AfterEach
  void end() throws Exception {
    started.forEach(Process::destroyForcibly);
    lists.interrupt();
    discovery.close();
  }

  private Process start(String name, String settings) throws IOException {
    Path file = Files.writeString(dir.resolve("p.conf"), settings);
    Map<String, String> environment =
        new ExampleConfig()
            .listen("127.0.0.1:" + port)
            .discovery(discovery.address())
            .with("\"reportEveryUs\": 1000000", "\"reportEveryUs\": 200000")
            .write(dir);
    ProcessBuilder how =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "pearusher.cli.Main",
                "serve",
                "--settings",
                file.toString())
            .redirectErrorStream(true)
            .redirectOutput(dir.resolve(name).toFile());
    how.environment().keySet().removeIf(k -> k.startsWith("EDGE_"));
    how.environment().putAll(environment);
    Process out = how.start();
    started.add(out);
    return out;
  }

  private String log(String name) {
    try {
      return Files.readString(dir.resolve(name), StandardCharsets.UTF_8);
    } catch (IOException e) {
      return "";
    }
  }

  private String store(String more) {
    return "store {\n directory \"" + dir.resolve("store") + "\"\n" + more + "}\n";
  }

  private void join() throws Exception {
    proxies.clear();
    for (int k = 0; k < PROXIES; k++) {
      Proxy one = new Proxy(k);
      boolean fresh;
      synchronized (check) {
        fresh = check.applied(k).by.get("lookup").lines.isEmpty();
        check.onJoined(k, fresh, killed);
      }
      one.reading();
      one.send(
          "joined proxy "
              + k
              + " zone "
              + (k % 2 == 0 ? "north" : "south")
              + " weight 2.5 fresh "
              + (fresh ? 1 : 0));
      proxies.add(one);
    }
  }

  private void reports(TestPeers.RespClient collector, Random random) throws IOException {
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

  private void kill(Process p, TestPeers.RespClient collector) throws Exception {
    p.destroyForcibly();
    assertTrue(p.waitFor(20, TimeUnit.SECONDS));
    killed = now();
    for (Proxy one : proxies) {
      TestPeers.until("its end", () -> one.ended);
      one.close();
      synchronized (check) {
        check.onStreamClosed(one.number);
      }
    }
    collector.close();
  }

  @Test
  void overManyKillsNoOrderIsGivenTwiceHalfOrToADrainedServer() throws Exception {
    Random random = new Random(4);
    for (int life = 0; life < 5; life++) {
      String name = "life" + life;
      Process p = start(name, store(life % 2 == 0 ? "" : " sync interval\n interval 10ms\n"));
      TestPeers.until("ready", () -> log(name).contains("INFO ready: n0"));
      assertTrue(
          log(name).contains(life == 0 ? "trust=\"it is new\"" : "trust=\"all of it is trusted\""),
          log(name));
      assertTrue(log(name).contains("epoch=" + (life + 1) + " "), log(name));
      join();
      TestPeers.RespClient collector =
          new TestPeers.RespClient(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      collector.send("collector zone north");
      int rounds = 8 + random.nextInt(8);
      for (int round = 0; round < rounds; round++) {
        reports(collector, random);
        if (round == 3 && life > 0 && life < 4) {
          drain(life);
        }
        Thread.sleep(100);
      }
      if (life % 2 == 1) {
        // All answers have surely been heard by the kill: nothing of them may come again.
        Thread.sleep(SLACK_US / 1000 + 300);
      }
      kill(p, collector);
      synchronized (check) {
        for (int k = 0; k < PROXIES; k++) {
          check.checkDraining(k, now());
        }
        assertEquals(List.of(), check.faults(), log(name));
      }
    }
    assertTrue(
        check.updates() > 60,
        check.updates() + " orders, " + check.deltasAtJoin() + " to who rejoined");
    assertEquals(0, check.completeTablesAtRejoin(), "who holds its table gets what it lacks");
    assertTrue(check.deltasAtJoin() > 0);
  }

  private Path newestLog() throws IOException {
    try (Stream<Path> files = Files.list(dir.resolve("store"))) {
      return files
          .filter(f -> f.getFileName().toString().startsWith("log-"))
          .max(Path::compareTo)
          .orElseThrow();
    }
  }

  /** An orderly end, a damaged byte, a cut end, a copy, and a disk that goes away. */
  @Test
  void theLogTellsWhatBecameOfTheStore() throws Exception {
    Process first = start("first", store(""));
    TestPeers.until("ready", () -> log("first").contains("INFO ready: n0"));
    join();
    TestPeers.until("orders", () -> check.updates() >= PROXIES);
    Process second = start("second", store(""));
    assertEquals(1, status(second));
    assertTrue(
        log("second")
            .contains(
                "ERROR can't start on the store: store "
                    + dir.resolve("store")
                    + " is in use by another process; stop it, or name another directory"),
        log("second"));
    first.destroy();
    assertEquals(0, status(first));
    Path log = newestLog();
    try (RandomAccessFile file = new RandomAccessFile(log.toFile(), "rw")) {
      file.seek(80);
      int was = file.read();
      file.seek(80);
      file.write(was ^ 1);
    }
    Process refused = start("refused", store(""));
    assertEquals(1, status(refused));
    assertTrue(
        log("refused")
            .contains(
                "is damaged: "
                    + log.getFileName()
                    + " at byte 36: record 1 can't be "
                    + "read, and it was confirmed; "),
        log("refused"));
    start("stopped", store(" damage stop\n compact-at 16KiB\n compact-times 1\n"));
    TestPeers.until("ready", () -> log("stopped").contains("INFO ready: n0"));
    assertTrue(
        log("stopped").contains("WARN store damaged: sequence=0 lost=\"" + log.getFileName()),
        log("stopped"));
    join();
    TestPeers.RespClient collector =
        new TestPeers.RespClient(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    collector.send("collector zone north");
    Random random = new Random(5);
    TestPeers.until(
        "a compaction",
        () -> {
          try {
            reports(collector, random);
            Thread.sleep(20);
          } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
          }
          return log("stopped").contains("INFO store compacted: took_ms=");
        });
    // The directory goes away under it: the next log can't be begun.
    try (Stream<Path> files = Files.list(dir.resolve("store"))) {
      for (Path one : files.toList()) {
        Files.delete(one);
      }
    }
    Files.delete(dir.resolve("store"));
    TestPeers.until(
        "given up",
        () -> {
          try {
            reports(collector, random);
            Thread.sleep(20);
          } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
          }
          return log("stopped").contains("ERROR store given up: waiting=");
        });
    int before = check.updates();
    drain(1);
    TestPeers.until("orders without a store", () -> check.updates() > before);
    assertEquals(1, log("stopped").lines().filter(l -> l.contains("store given up")).count());
  }

  private static int status(Process p) throws Exception {
    assertTrue(p.waitFor(20, TimeUnit.SECONDS), "it doesn't end");
    return p.exitValue();
  }

  @Test
  void faultySettingsAreStatusTwoWithTheirPlaces() throws Exception {
    Process p = start("log", store(" sync evry\n patience 5\n"));
    assertEquals(2, status(p));
    String file = dir.resolve("p.conf").toString();
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
