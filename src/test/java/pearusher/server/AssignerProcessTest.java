package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pearusher.policy.AssignmentPolicy;

/** The real process: its starts and ends, as the page for on-call staff tells them. */
class AssignerProcessTest {
  @TempDir Path dir;
  private final List<Process> started = new ArrayList<>();

  /** Runs serve with a module that fails, as no real one does on order. */
  public static final class Failing {
    private Failing() {}

    public static void main(String[] args) {
      AtomicInteger made = new AtomicInteger();
      System.exit(
          AssignerProcess.run(
              System.getenv(),
              (settings, orders) -> {
                boolean warmingUp = made.incrementAndGet() == 1;
                orders.setTimer(0, 1);
                return (AssignmentPolicy)
                    Proxy.newProxyInstance(
                        Failing.class.getClassLoader(),
                        new Class<?>[] {AssignmentPolicy.class},
                        (self, method, of) -> {
                          if (method.getName().equals("onTimer") && !warmingUp) {
                            throw new IllegalStateException("no such weight");
                          }
                          return null;
                        });
              }));
    }
  }

  @AfterEach
  void end() {
    started.forEach(Process::destroyForcibly);
  }

  private Process start(Map<String, String> environment, String name, String... command)
      throws IOException {
    return launch(environment, name, java(command));
  }

  private static String[] java(String... command) {
    List<String> all =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path")));
    all.addAll(List.of(command));
    return all.toArray(String[]::new);
  }

  private Process launch(Map<String, String> environment, String name, String... command)
      throws IOException {
    ProcessBuilder how =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(dir.resolve(name).toFile());
    how.environment().keySet().removeIf(k -> k.startsWith("EDGE_"));
    how.environment().putAll(environment);
    Process out = how.start();
    started.add(out);
    return out;
  }

  /** The deploy file's own line, with the classes of this build. */
  private static String runLine() throws IOException {
    String run =
        Files.readAllLines(Path.of("deploy", "balancer.toml")).stream()
            .filter(l -> l.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    return run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'))
        .replace(
            "-jar target/pearusher.jar",
            "-cp '" + System.getProperty("java.class.path") + "' pearusher.cli.Main");
  }

  private String log(String name) {
    try {
      return Files.readString(dir.resolve(name), StandardCharsets.UTF_8);
    } catch (IOException e) {
      return "";
    }
  }

  private int status(Process p) throws Exception {
    assertTrue(p.waitFor(20, TimeUnit.SECONDS), "it doesn't end");
    return p.exitValue();
  }

  @Test
  void sigtermEndsCleanlyAndASecondStartOnThePortFails() throws Exception {
    int port;
    try (ServerSocket free = new ServerSocket(0)) {
      port = free.getLocalPort();
    }
    Map<String, String> environment = new ExampleConfig().listen("127.0.0.1:" + port).write(dir);
    Process first = start(environment, "first", "pearusher.cli.Main", "serve");
    TestPeers.until("ready", () -> log("first").contains("INFO ready: n0"));
    assertTrue(
        log("first")
            .contains(
                "INFO start: n0 on 127.0.0.1:"
                    + port
                    + ", discovery 127.0.0.1:1, "
                    + "2 servers known"),
        log("first"));
    TestPeers.until(
        "discovery lost", () -> log("first").contains("WARN discovery lost: WATCH ended: REFUSED"));
    TestPeers.until("list lost", () -> log("first").contains("INFO endpoint list watch lost"));
    Process second = start(environment, "second", "pearusher.cli.Main", "serve");
    assertEquals(1, status(second));
    assertTrue(
        log("second").contains("ERROR can't start on 127.0.0.1:" + port + ": "), log("second"));
    first.destroy();
    assertEquals(0, status(first));
    assertTrue(log("first").endsWith("INFO shutdown: n0 ends on SIGTERM\n"), log("first"));
  }

  /** The lines that the page for on-call staff quotes, each said once. */
  @Test
  void theLogTellsChangesOfState() throws Exception {
    try (TestPeers.HttpStub discovery = new TestPeers.HttpStub();
        DatagramSocket stranger = new DatagramSocket()) {
      int port;
      try (ServerSocket free = new ServerSocket(0)) {
        port = free.getLocalPort();
      }
      int mail;
      try (DatagramSocket free = new DatagramSocket()) {
        mail = free.getLocalPort();
      }
      start(
          new ExampleConfig()
              .listen("127.0.0.1:" + port)
              .discovery(discovery.address())
              .with(
                  "\"peer_listen\": \"127.0.0.1:0\"", "\"peer_listen\": \"127.0.0.1:" + mail + "\"")
              .write(dir),
          "log",
          "pearusher.cli.Main",
          "serve");
      TestPeers.until("ready", () -> log("log").contains("INFO ready: n0"));
      discovery.next().answer(503, "");
      TestPeers.until(
          "lost", () -> log("log").contains("WARN discovery lost: WATCH ended: UNAVAILABLE"));
      discovery.next().answer(503, "");
      TestPeers.Request watch = discovery.next();
      watch.beginWatch();
      watch.line(TestPeers.listing(42, false));
      TestPeers.until(
          "back",
          () ->
              log("log").contains("INFO discovery recovered")
                  && log("log").contains("INFO endpoint list watch restored"));
      InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
      TestPeers.RespClient proxy = new TestPeers.RespClient(at);
      proxy.send("joined proxy 3 zone north weight 2.5 fresh 1");
      assertEquals('*', proxy.socket.getInputStream().read(), "its table comes");
      proxy.reset();
      TestPeers.until(
          "its end", () -> log("log").contains("INFO connection of proxy 3 ended: RESET"));
      TestPeers.RespClient garbage = new TestPeers.RespClient(at).reading();
      garbage.send("GET / HTTP/1.1\r\n".getBytes(StandardCharsets.UTF_8));
      TestPeers.until(
          "garbage",
          () ->
              log("log")
                  .contains(
                      "WARN unidentified connections rejected: 1 so far, the last: MALFORMED: not"
                          + " RESP"));
      stranger.send(
          new DatagramPacket(
              new byte[1], 1, new InetSocketAddress(InetAddress.getLoopbackAddress(), mail)));
      TestPeers.until(
          "the datagram", () -> log("log").contains("WARN datagrams dropped: 1 so far"));
      assertEquals(
          1, log("log").lines().filter(l -> l.contains("discovery lost")).count(), log("log"));
      watch.line("{}");
      TestPeers.until(
          "the line",
          () ->
              log("log")
                  .contains(
                      "WARN discovery: a line can't be read: "
                          + "list: the key generation is missing"));
    }
  }

  private static void hangUp(Process p) throws Exception {
    assertEquals(0, new ProcessBuilder("kill", "-HUP", "" + p.pid()).start().waitFor());
  }

  /**
   * SIGHUP asks for the file again: moved, faulty, gone, and twice in a row; the process goes on.
   */
  @Test
  void aHangUpIsAReload() throws Exception {
    try (TestPeers.HttpStub discovery = new TestPeers.HttpStub();
        TestPeers.HttpStub elsewhere = new TestPeers.HttpStub()) {
      int port;
      try (ServerSocket free = new ServerSocket(0)) {
        port = free.getLocalPort();
      }
      ExampleConfig example =
          new ExampleConfig().listen("127.0.0.1:" + port).discovery(discovery.address());
      Map<String, String> environment = Map.copyOf(example.write(dir));
      Process p = start(environment, "log", "pearusher.cli.Main", "serve");
      TestPeers.until("ready", () -> log("log").contains("INFO ready: n0"));
      TestPeers.Request watch = discovery.next();
      watch.beginWatch();
      watch.line(TestPeers.listing(42, false));
      TestPeers.RespClient proxy =
          new TestPeers.RespClient(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
              .reading();
      proxy.send("joined proxy 3 zone north weight 2.5 fresh 1");
      TestPeers.until("its table", () -> !proxy.came.isEmpty());
      Path file = Path.of(environment.get("EDGE_CONFIG"));
      Files.writeString(file, "{\"name\":\"n0\",\"seed\":");
      hangUp(p);
      TestPeers.until(
          "a fault", () -> log("log").contains("WARN reload: configuration: malformed JSON: "));
      Files.delete(file);
      hangUp(p);
      TestPeers.until(
          "no file",
          () ->
              log("log")
                  .contains(
                      "WARN reload: EDGE_CONFIG: "
                          + file
                          + " can't be read; the old configuration stays"));
      example.discovery(elsewhere.address()).write(dir);
      hangUp(p);
      elsewhere.next().beginWatch();
      assertTrue(log("log").contains("INFO reload: discovery " + elsewhere.address()), log("log"));
      hangUp(p);
      elsewhere.next().beginWatch();
      assertFalse(proxy.ended);
      assertTrue(p.isAlive());
      assertFalse(log("log").contains("endpoint list watch lost"), log("log"));
    }
  }

  /**
   * Who starts the assigner may ignore SIGHUP, as nohup does, and the process inherits that. On a
   * day of restarts four of five never heard that discovery had moved. The deploy file's own line
   * takes it back.
   */
  @Test
  void aHangUpIsAReloadThoughWhoeverStartedItIgnoresTheSignal() throws Exception {
    try (TestPeers.HttpStub discovery = new TestPeers.HttpStub();
        TestPeers.HttpStub elsewhere = new TestPeers.HttpStub()) {
      ExampleConfig example = new ExampleConfig().discovery(discovery.address());
      Map<String, String> environment = Map.copyOf(example.write(dir));
      Process p = launch(environment, "log", "/bin/sh", "-c", "trap '' HUP; " + runLine());
      TestPeers.until("ready", () -> log("log").contains("INFO ready: n0"));
      discovery.next().beginWatch();
      example.discovery(elsewhere.address()).write(dir);
      hangUp(p);
      elsewhere.next().beginWatch();
      assertTrue(log("log").contains("INFO reload: discovery " + elsewhere.address()), log("log"));
      assertFalse(log("log").contains("no reload on SIGHUP"), log("log"));
    }
  }

  /**
   * Joinings, pings and reports come in the instant of the end, and a reload right before or after
   * it.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void sigtermAmidWorkEndsCleanly(boolean reloadFirst) throws Exception {
    int port;
    try (ServerSocket free = new ServerSocket(0)) {
      port = free.getLocalPort();
    }
    Process p =
        start(
            new ExampleConfig().listen("127.0.0.1:" + port).write(dir),
            "log",
            "pearusher.cli.Main",
            "serve");
    TestPeers.until("ready", () -> log("log").contains("INFO ready: n0"));
    List<TestPeers.RespClient> callers = new ArrayList<>();
    for (int k = 0; k < 8; k++) {
      callers.add(
          new TestPeers.RespClient(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
              .reading());
      callers.get(k).send("joined proxy " + k + " zone north weight 2.5 fresh 1");
    }
    TestPeers.until("their tables", () -> callers.stream().noneMatch(c -> c.came.isEmpty()));
    TestPeers.RespClient late =
        new TestPeers.RespClient(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
            .reading();
    if (reloadFirst) {
      hangUp(p);
    }
    late.send("ping");
    callers.get(0).send("usage proxy 0 class order tries 1 failed 0 span_ms 1000");
    p.destroy();
    if (!reloadFirst) {
      new ProcessBuilder("kill", "-HUP", "" + p.pid()).start().waitFor();
    }
    assertEquals(0, status(p));
    assertTrue(log("log").contains("INFO shutdown: n0 ends on SIGTERM"), log("log"));
    assertFalse(log("log").contains("ERROR") || log("log").contains("xception"), log("log"));
    TestPeers.until("all streams end", () -> late.ended && callers.stream().allMatch(c -> c.ended));
  }

  /** Before the hook is there the virtual machine ends by itself, with the signal's status. */
  @Test
  void sigtermDuringTheStartIsNoFailure() throws Exception {
    Process p = start(new ExampleConfig().write(dir), "log", "pearusher.cli.Main", "serve");
    TestPeers.until("its first line", () -> log("log").contains("INFO start: n0"));
    p.destroy();
    int status = status(p);
    assertTrue(status == 0 || status == 143, "status " + status);
    assertFalse(log("log").contains("ERROR"), log("log"));
  }

  @Test
  void whereAHangUpCannotBeTakenTheLogSaysSo() throws Exception {
    Process p =
        launch(
            new ExampleConfig().write(dir),
            "log",
            "/bin/sh",
            "-c",
            "trap '' HUP; exec " + String.join(" ", java("pearusher.cli.Main", "serve")));
    TestPeers.until("ready", () -> log("log").contains("INFO ready: n0"));
    assertTrue(
        log("log").contains("WARN no reload on SIGHUP: it was ignored when the process began"),
        log("log"));
    hangUp(p);
    assertTrue(p.isAlive());
  }

  @Test
  void aFaultyConfigurationIsOneLineAndStatusTwo() throws Exception {
    Process p =
        start(
            new ExampleConfig().with("\"tickUs\": 5000", "\"tickUs\": true").write(dir),
            "log",
            "pearusher.cli.Main",
            "serve");
    assertEquals(2, status(p));
    assertEquals(
        "pearusher: configuration: the key settings.tickUs is unreadable: 'true'\n", log("log"));
  }

  private static String servers(int from, int to, int idLength) {
    StringBuilder out = new StringBuilder();
    for (int k = from; k < to; k++) {
      String id = "s-" + k;
      out.append(k == from ? "" : ",")
          .append(
              TestPeers.instance(
                  id + "x".repeat(Math.max(0, idLength - id.length())),
                  "10." + (k >> 16) + "." + (k >> 8 & 255) + "." + (k & 255) + ":8080",
                  k % 2 == 0 ? "north" : "south",
                  "in_service",
                  0));
    }
    return out.toString();
  }

  private static void pings(InetSocketAddress at) throws Exception {
    try (TestPeers.RespClient one = new TestPeers.RespClient(at).reading()) {
      one.send("ping");
      TestPeers.until("a pong", () -> one.came.contains(List.of("pong")));
    }
  }

  /**
   * Under the heap of the run line: 10,000 servers known by the longest ids, a list of 100,000
   * refused, one of 10,000 taken of which 6,000 are new. The process lives through all of it.
   */
  @Test
  void listsOfAnySizeAreTakenOrRefusedWithinTheHeapOfTheRunLine() throws Exception {
    try (TestPeers.HttpStub discovery = new TestPeers.HttpStub()) {
      int port;
      try (ServerSocket free = new ServerSocket(0)) {
        port = free.getLocalPort();
      }
      Map<String, String> environment =
          new ExampleConfig()
              .listen("127.0.0.1:" + port)
              .discovery(discovery.address())
              .with("\"instances\": [", "\"instances\": [" + servers(0, 10_000, 255) + ",")
              .write(dir);
      Process p = launch(environment, "log", "/bin/sh", "-c", runLine());
      TestPeers.until("ready", () -> log("log").contains("INFO ready: n0"));
      assertTrue(log("log").contains("10002 servers known"), log("log"));
      InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
      pings(at);
      TestPeers.Request watch = discovery.next();
      watch.beginWatch();
      try {
        watch.line(TestPeers.listing(42, true, servers(0, 100_000, 10)));
      } catch (IOException closed) {
        assertTrue(p.isAlive(), log("log"));
      }
      TestPeers.until("the refusal", () -> log("log").contains("WARN discovery: a list of over "));
      TestPeers.until(
          "the loss", () -> log("log").contains("WARN discovery lost: WATCH ended: TOO_LONG"));
      assertTrue(log("log").contains(" servers: the heap of 39 MB holds no more"), log("log"));
      pings(at);
      TestPeers.Request next = discovery.next();
      assertEquals("/catalog/members?follow=1&since=41", next.path(), "the last good list stays");
      next.beginWatch();
      next.line(TestPeers.listing(43, true, servers(6_000, 16_000, 255)));
      TestPeers.until("the list", () -> log("log").contains("INFO endpoint list watch restored"));
      pings(at);
      assertTrue(p.isAlive(), log("log"));
      assertFalse(log("log").contains("ERROR") || log("log").contains("OutOfMemory"), log("log"));
    }
  }

  @Test
  void aKnownListThatTheHeapCannotHoldIsStatusTwo() throws Exception {
    Process p =
        launch(
            new ExampleConfig()
                .with("\"instances\": [", "\"instances\": [" + servers(0, 100_000, 10) + ",")
                .write(dir),
            "log",
            "/bin/sh",
            "-c",
            runLine());
    assertEquals(2, status(p));
    assertTrue(
        log("log")
            .matches(
                "pearusher: configuration: the key known.instances names over \\d+ "
                    + "servers: the heap of 39 MB holds no more\n"),
        log("log"));
  }

  @Test
  void aFailureOfTheModuleEndsTheProcessWithItsPlace() throws Exception {
    Process p = start(new ExampleConfig().write(dir), "log", Failing.class.getName());
    assertEquals(1, status(p));
    assertTrue(log("log").contains("ERROR the policy failed, ending with status 1"), log("log"));
    assertTrue(log("log").contains("no such weight") && log("log").contains("at "), log("log"));
  }
}
