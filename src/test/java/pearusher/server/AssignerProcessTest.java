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
  @TempDir Path directory;
  private final List<Process> processes = new ArrayList<>();

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
  void killProcesses() {
    processes.forEach(Process::destroyForcibly);
  }

  private Process start(Map<String, String> environment, String name, String... command)
      throws IOException {
    return launch(environment, name, java(command));
  }

  private static String[] java(String... arguments) {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path")));
    command.addAll(List.of(arguments));
    return command.toArray(String[]::new);
  }

  private Process launch(Map<String, String> environment, String name, String... command)
      throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(directory.resolve(name).toFile());
    builder.environment().keySet().removeIf(k -> k.startsWith("EDGE_"));
    builder.environment().putAll(environment);
    Process result = builder.start();
    processes.add(result);
    return result;
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
      return Files.readString(directory.resolve(name), StandardCharsets.UTF_8);
    } catch (IOException e) {
      return "";
    }
  }

  private int awaitExit(Process process) throws Exception {
    assertTrue(process.waitFor(20, TimeUnit.SECONDS), "it doesn't end");
    return process.exitValue();
  }

  @Test
  void sigtermEndsCleanlyAndASecondStartOnThePortFails() throws Exception {
    int port;
    try (ServerSocket free = new ServerSocket(0)) {
      port = free.getLocalPort();
    }
    Map<String, String> environment =
        new ExampleConfig().listen("127.0.0.1:" + port).write(directory);
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
    assertEquals(1, awaitExit(second));
    assertTrue(
        log("second").contains("ERROR can't start on 127.0.0.1:" + port + ": "), log("second"));
    first.destroy();
    assertEquals(0, awaitExit(first));
    assertTrue(log("first").endsWith("INFO shutdown: n0 ends on SIGTERM\n"), log("first"));
  }

  /** The lines that the page for on-call staff quotes, each said once. */
  @Test
  void logReportsChangesOfState() throws Exception {
    try (HttpStub discovery = new HttpStub();
        DatagramSocket stranger = new DatagramSocket()) {
      int port;
      try (ServerSocket free = new ServerSocket(0)) {
        port = free.getLocalPort();
      }
      int peerPort;
      try (DatagramSocket free = new DatagramSocket()) {
        peerPort = free.getLocalPort();
      }
      start(
          new ExampleConfig()
              .listen("127.0.0.1:" + port)
              .discovery(discovery.address())
              .with(
                  "\"peer_listen\": \"127.0.0.1:0\"",
                  "\"peer_listen\": \"127.0.0.1:" + peerPort + "\"")
              .write(directory),
          "log",
          "pearusher.cli.Main",
          "serve");
      TestPeers.until("ready", () -> log("log").contains("INFO ready: n0"));
      discovery.awaitRequest().respond(503, "");
      TestPeers.until(
          "lost", () -> log("log").contains("WARN discovery lost: WATCH ended: UNAVAILABLE"));
      discovery.awaitRequest().respond(503, "");
      StubRequest watch = discovery.awaitRequest();
      watch.startWatch();
      watch.writeLine(TestPeers.listing(42, false));
      TestPeers.until(
          "back",
          () ->
              log("log").contains("INFO discovery recovered")
                  && log("log").contains("INFO endpoint list watch restored"));
      InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
      RespClient proxy = new RespClient(address);
      proxy.send("joined proxy 3 zone north weight 2.5 fresh 1");
      assertEquals('*', proxy.socket.getInputStream().read(), "its table comes");
      proxy.reset();
      TestPeers.until(
          "its end", () -> log("log").contains("INFO connection of proxy 3 ended: RESET"));
      RespClient garbage = new RespClient(address).startReading();
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
              new byte[1], 1, new InetSocketAddress(InetAddress.getLoopbackAddress(), peerPort)));
      TestPeers.until(
          "the datagram", () -> log("log").contains("WARN datagrams dropped: 1 so far"));
      assertEquals(
          1, log("log").lines().filter(l -> l.contains("discovery lost")).count(), log("log"));
      watch.writeLine("{}");
      TestPeers.until(
          "the line",
          () ->
              log("log")
                  .contains(
                      "WARN discovery: a line can't be read: "
                          + "list: the key generation is missing"));
    }
  }

  private static void sendHangup(Process process) throws Exception {
    assertEquals(0, new ProcessBuilder("kill", "-HUP", "" + process.pid()).start().waitFor());
  }

  /**
   * SIGHUP asks for the file again: moved, faulty, gone, and twice in a row; the process goes on.
   */
  @Test
  void sighupReloadsTheConfiguration() throws Exception {
    try (HttpStub discovery = new HttpStub();
        HttpStub otherDiscovery = new HttpStub()) {
      int port;
      try (ServerSocket free = new ServerSocket(0)) {
        port = free.getLocalPort();
      }
      ExampleConfig example =
          new ExampleConfig().listen("127.0.0.1:" + port).discovery(discovery.address());
      Map<String, String> environment = Map.copyOf(example.write(directory));
      Process process = start(environment, "log", "pearusher.cli.Main", "serve");
      TestPeers.until("ready", () -> log("log").contains("INFO ready: n0"));
      StubRequest watch = discovery.awaitRequest();
      watch.startWatch();
      watch.writeLine(TestPeers.listing(42, false));
      RespClient proxy =
          new RespClient(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
              .startReading();
      proxy.send("joined proxy 3 zone north weight 2.5 fresh 1");
      TestPeers.until("its table", () -> !proxy.received.isEmpty());
      Path file = Path.of(environment.get("EDGE_CONFIG"));
      Files.writeString(file, "{\"name\":\"n0\",\"seed\":");
      sendHangup(process);
      TestPeers.until(
          "a fault", () -> log("log").contains("WARN reload: configuration: malformed JSON: "));
      Files.delete(file);
      sendHangup(process);
      TestPeers.until(
          "no file",
          () ->
              log("log")
                  .contains(
                      "WARN reload: EDGE_CONFIG: "
                          + file
                          + " can't be read; the old configuration stays"));
      example.discovery(otherDiscovery.address()).write(directory);
      sendHangup(process);
      otherDiscovery.awaitRequest().startWatch();
      assertTrue(
          log("log").contains("INFO reload: discovery " + otherDiscovery.address()), log("log"));
      sendHangup(process);
      otherDiscovery.awaitRequest().startWatch();
      assertFalse(proxy.isEnded);
      assertTrue(process.isAlive());
      assertFalse(log("log").contains("endpoint list watch lost"), log("log"));
    }
  }

  /**
   * Who starts the assigner may ignore SIGHUP, as nohup does, and the process inherits that. On a
   * day of restarts four of five never heard that discovery had moved. The deploy file's own line
   * takes it back.
   */
  @Test
  void sighupReloadsThoughTheParentIgnoresIt() throws Exception {
    try (HttpStub discovery = new HttpStub();
        HttpStub otherDiscovery = new HttpStub()) {
      ExampleConfig example = new ExampleConfig().discovery(discovery.address());
      Map<String, String> environment = Map.copyOf(example.write(directory));
      Process process = launch(environment, "log", "/bin/sh", "-c", "trap '' HUP; " + runLine());
      TestPeers.until("ready", () -> log("log").contains("INFO ready: n0"));
      discovery.awaitRequest().startWatch();
      example.discovery(otherDiscovery.address()).write(directory);
      sendHangup(process);
      otherDiscovery.awaitRequest().startWatch();
      assertTrue(
          log("log").contains("INFO reload: discovery " + otherDiscovery.address()), log("log"));
      assertFalse(log("log").contains("no reload on SIGHUP"), log("log"));
    }
  }

  /**
   * Joinings, pings and reports come in the instant of the end, and a reload right before or after
   * it.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void sigtermUnderLoadEndsCleanly(boolean reloadFirst) throws Exception {
    int port;
    try (ServerSocket free = new ServerSocket(0)) {
      port = free.getLocalPort();
    }
    Process process =
        start(
            new ExampleConfig().listen("127.0.0.1:" + port).write(directory),
            "log",
            "pearusher.cli.Main",
            "serve");
    TestPeers.until("ready", () -> log("log").contains("INFO ready: n0"));
    List<RespClient> callers = new ArrayList<>();
    for (int k = 0; k < 8; k++) {
      callers.add(
          new RespClient(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
              .startReading());
      callers.get(k).send("joined proxy " + k + " zone north weight 2.5 fresh 1");
    }
    TestPeers.until("their tables", () -> callers.stream().noneMatch(c -> c.received.isEmpty()));
    RespClient late =
        new RespClient(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
            .startReading();
    if (reloadFirst) {
      sendHangup(process);
    }
    late.send("ping");
    callers.get(0).send("usage proxy 0 class order tries 1 failed 0 span_ms 1000");
    process.destroy();
    if (!reloadFirst) {
      new ProcessBuilder("kill", "-HUP", "" + process.pid()).start().waitFor();
    }
    assertEquals(0, awaitExit(process));
    assertTrue(log("log").contains("INFO shutdown: n0 ends on SIGTERM"), log("log"));
    assertFalse(log("log").contains("ERROR") || log("log").contains("xception"), log("log"));
    TestPeers.until(
        "all streams end", () -> late.isEnded && callers.stream().allMatch(c -> c.isEnded));
  }

  /** Before the hook is there the virtual machine ends by itself, with the signal's status. */
  @Test
  void sigtermDuringTheStartIsNoFailure() throws Exception {
    Process process =
        start(new ExampleConfig().write(directory), "log", "pearusher.cli.Main", "serve");
    TestPeers.until("its first line", () -> log("log").contains("INFO start: n0"));
    process.destroy();
    int status = awaitExit(process);
    assertTrue(status == 0 || status == 143, "status " + status);
    assertFalse(log("log").contains("ERROR"), log("log"));
  }

  @Test
  void logWarnsWhereSighupIsIgnored() throws Exception {
    Process process =
        launch(
            new ExampleConfig().write(directory),
            "log",
            "/bin/sh",
            "-c",
            "trap '' HUP; exec " + String.join(" ", java("pearusher.cli.Main", "serve")));
    TestPeers.until("ready", () -> log("log").contains("INFO ready: n0"));
    assertTrue(
        log("log").contains("WARN no reload on SIGHUP: it was ignored when the process began"),
        log("log"));
    sendHangup(process);
    assertTrue(process.isAlive());
  }

  @Test
  void invalidConfigurationIsOneLineAndStatusTwo() throws Exception {
    Process process =
        start(
            new ExampleConfig().with("\"tickUs\": 5000", "\"tickUs\": true").write(directory),
            "log",
            "pearusher.cli.Main",
            "serve");
    assertEquals(2, awaitExit(process));
    assertEquals(
        "pearusher: configuration: the key settings.tickUs is unreadable: 'true'\n", log("log"));
  }

  private static String serverEntries(int from, int to, int idLength) {
    StringBuilder result = new StringBuilder();
    for (int k = from; k < to; k++) {
      String id = "s-" + k;
      result
          .append(k == from ? "" : ",")
          .append(
              TestPeers.instance(
                  id + "x".repeat(Math.max(0, idLength - id.length())),
                  "10." + (k >> 16) + "." + (k >> 8 & 255) + "." + (k & 255) + ":8080",
                  k % 2 == 0 ? "north" : "south",
                  "in_service",
                  0));
    }
    return result.toString();
  }

  private static void assertAnswersPing(InetSocketAddress address) throws Exception {
    try (RespClient client = new RespClient(address).startReading()) {
      client.send("ping");
      TestPeers.until("a pong", () -> client.received.contains(List.of("pong")));
    }
  }

  /**
   * Under the heap of the run line: 10,000 servers known by the longest ids, a list of 100,000
   * refused, one of 10,000 taken of which 6,000 are new. The process lives through all of it.
   */
  @Test
  void endpointListsAreAcceptedOrRefusedWithinTheHeapOfTheRunLine() throws Exception {
    try (HttpStub discovery = new HttpStub()) {
      int port;
      try (ServerSocket free = new ServerSocket(0)) {
        port = free.getLocalPort();
      }
      Map<String, String> environment =
          new ExampleConfig()
              .listen("127.0.0.1:" + port)
              .discovery(discovery.address())
              .with("\"instances\": [", "\"instances\": [" + serverEntries(0, 10_000, 255) + ",")
              .write(directory);
      Process process = launch(environment, "log", "/bin/sh", "-c", runLine());
      TestPeers.until("ready", () -> log("log").contains("INFO ready: n0"));
      assertTrue(log("log").contains("10002 servers known"), log("log"));
      InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
      assertAnswersPing(address);
      StubRequest watch = discovery.awaitRequest();
      watch.startWatch();
      try {
        watch.writeLine(TestPeers.listing(42, true, serverEntries(0, 100_000, 10)));
      } catch (IOException closed) {
        assertTrue(process.isAlive(), log("log"));
      }
      TestPeers.until("the refusal", () -> log("log").contains("WARN discovery: a list of over "));
      TestPeers.until(
          "the loss", () -> log("log").contains("WARN discovery lost: WATCH ended: TOO_LONG"));
      assertTrue(log("log").contains(" servers: the heap of 39 MB holds no more"), log("log"));
      assertAnswersPing(address);
      StubRequest next = discovery.awaitRequest();
      assertEquals("/catalog/members?follow=1&since=41", next.path(), "the last good list stays");
      next.startWatch();
      next.writeLine(TestPeers.listing(43, true, serverEntries(6_000, 16_000, 255)));
      TestPeers.until("the list", () -> log("log").contains("INFO endpoint list watch restored"));
      assertAnswersPing(address);
      assertTrue(process.isAlive(), log("log"));
      assertFalse(log("log").contains("ERROR") || log("log").contains("OutOfMemory"), log("log"));
    }
  }

  @Test
  void configuredListTooLargeForTheHeapIsStatusTwo() throws Exception {
    Process process =
        launch(
            new ExampleConfig()
                .with("\"instances\": [", "\"instances\": [" + serverEntries(0, 100_000, 10) + ",")
                .write(directory),
            "log",
            "/bin/sh",
            "-c",
            runLine());
    assertEquals(2, awaitExit(process));
    assertTrue(
        log("log")
            .matches(
                "pearusher: configuration: the key known.instances names over \\d+ "
                    + "servers: the heap of 39 MB holds no more\n"),
        log("log"));
  }

  @Test
  void failureOfThePolicyEndsTheProcessWithAStackTrace() throws Exception {
    Process process = start(new ExampleConfig().write(directory), "log", Failing.class.getName());
    assertEquals(1, awaitExit(process));
    assertTrue(log("log").contains("ERROR the policy failed, ending with status 1"), log("log"));
    assertTrue(log("log").contains("no such weight") && log("log").contains("at "), log("log"));
  }
}
