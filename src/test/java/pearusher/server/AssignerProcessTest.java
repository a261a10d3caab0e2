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
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pearusher.policy.AssignmentPolicy;

/** Start, reload, failure and exit of an assigner process, as documented in docs/on-call.md. */
class AssignerProcessTest {
  private static final String LOG = "log";

  @TempDir Path directory;
  private AssignerProcesses processes;
  private int port;

  /**
   * Main class of an assigner whose policy throws at its first timer, except during the warm-up.
   */
  public static final class FailingAssigner {
    private FailingAssigner() {}

    public static void main(String[] args) {
      AtomicInteger createdCount = new AtomicInteger();
      System.exit(
          AssignerProcess.run(
              System.getenv(),
              (settings, commands) -> {
                boolean isWarmUp = createdCount.incrementAndGet() == 1;
                commands.setTimer(0, 1);
                return failingPolicy(isWarmUp);
              }));
    }

    private static AssignmentPolicy failingPolicy(boolean isWarmUp) {
      return (AssignmentPolicy)
          Proxy.newProxyInstance(
              FailingAssigner.class.getClassLoader(),
              new Class<?>[] {AssignmentPolicy.class},
              (self, method, arguments) -> {
                if (method.getName().equals("onTimer") && !isWarmUp) {
                  throw new IllegalStateException("no such weight");
                }
                return null;
              });
    }
  }

  @BeforeEach
  void choosePort() throws IOException {
    processes = new AssignerProcesses(directory);
    port = processes.holdPort();
  }

  @AfterEach
  void killProcesses() throws IOException {
    processes.close();
  }

  private ExampleConfig example() throws IOException {
    return new ExampleConfig().listen("127.0.0.1:" + port);
  }

  private Process serve(ExampleConfig example) throws IOException {
    return processes.serve(example.write(directory), LOG);
  }

  private Process runInShell(ExampleConfig example, String script) throws IOException {
    return processes.launch(example.write(directory), LOG, List.of("/bin/sh", "-c", script));
  }

  private String log() {
    return processes.log(LOG);
  }

  private InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  @Test
  void sigtermExitsWithStatusZeroAndSecondStartOnThePortFails() throws Exception {
    Map<String, String> environment = example().write(directory);
    Process first = processes.serve(environment, "first");
    processes.awaitReady("first");
    processes.assertLogContains(
        "first",
        "INFO start: n0 on 127.0.0.1:" + port + ", discovery 127.0.0.1:1, 2 servers known");
    processes.awaitLog("first", "WARN discovery lost: WATCH ended: REFUSED");
    processes.awaitLog("first", "INFO endpoint list watch lost");
    Process second = processes.serve(environment, "second");
    assertEquals(1, AssignerProcesses.awaitExit(second));
    processes.assertLogContains("second", "ERROR can't start on 127.0.0.1:" + port + ": ");
    first.destroy();
    assertEquals(0, AssignerProcesses.awaitExit(first));
    String log = processes.log("first");
    assertTrue(log.endsWith("INFO shutdown: n0 ends on SIGTERM\n"), log);
  }

  /** Checks the lines quoted in docs/on-call.md. A repeated failure is logged only once. */
  @Test
  void logReportsChangesOfState() throws Exception {
    int peerPort = AssignerProcesses.freeDatagramPort();
    try (HttpStub discovery = new HttpStub();
        DatagramSocket unlistedPeer = new DatagramSocket()) {
      serve(
          example()
              .discovery(discovery.address())
              .with(
                  "\"peer_listen\": \"127.0.0.1:0\"",
                  "\"peer_listen\": \"127.0.0.1:" + peerPort + "\""));
      processes.awaitReady(LOG);
      StubRequest watch = failTwoWatchesAndStartOne(discovery);
      resetJoinedProxy();
      sendGarbage();
      unlistedPeer.send(
          new DatagramPacket(
              new byte[1], 1, new InetSocketAddress(InetAddress.getLoopbackAddress(), peerPort)));
      processes.awaitLog(LOG, "WARN datagrams dropped: 1 so far");
      assertEquals(1, log().lines().filter(line -> line.contains("discovery lost")).count(), log());
      watch.writeLine("{}");
      processes.awaitLog(
          LOG, "WARN endpoint list rejected: line unreadable: list: the key generation is missing");
    }
  }

  private StubRequest failTwoWatchesAndStartOne(HttpStub discovery) throws Exception {
    discovery.awaitRequest().respond(503, "");
    processes.awaitLog(LOG, "WARN discovery lost: WATCH ended: UNAVAILABLE");
    discovery.awaitRequest().respond(503, "");
    StubRequest watch = discovery.awaitRequest();
    watch.startWatch();
    watch.writeLine(TestPeers.endpointListJson(42, false));
    processes.awaitLog(LOG, "INFO discovery recovered");
    processes.awaitLog(LOG, "INFO endpoint list watch restored");
    return watch;
  }

  private void resetJoinedProxy() throws Exception {
    RespClient proxy = new RespClient(address());
    proxy.send("joined proxy 3 zone north weight 2.5 fresh 1");
    assertEquals('*', proxy.socket.getInputStream().read(), "first byte of the table update");
    proxy.reset();
    processes.awaitLog(LOG, "INFO connection of proxy 3 ended: RESET");
  }

  private void sendGarbage() throws Exception {
    RespClient garbage = new RespClient(address()).startReading();
    garbage.send("GET / HTTP/1.1\r\n".getBytes(StandardCharsets.UTF_8));
    processes.awaitLog(
        LOG, "WARN unidentified connections rejected: 1 so far, the last: MALFORMED: not RESP");
  }

  /**
   * Reloads a malformed and a missing file, then a new discovery address, then an unchanged file.
   * The process and the streams of proxies survive each reload.
   */
  @Test
  void sighupReloadsTheConfiguration() throws Exception {
    try (HttpStub discovery = new HttpStub();
        HttpStub otherDiscovery = new HttpStub()) {
      ExampleConfig example = example().discovery(discovery.address());
      Process process = serve(example);
      processes.awaitReady(LOG);
      StubRequest watch = discovery.awaitRequest();
      watch.startWatch();
      watch.writeLine(TestPeers.endpointListJson(42, false));
      RespClient proxy = new RespClient(address()).startReading();
      proxy.send("joined proxy 3 zone north weight 2.5 fresh 1");
      TestPeers.awaitUntil("the table of the proxy", () -> !proxy.received.isEmpty());
      reloadUnreadableFiles(process, Path.of(example.environment().get("EDGE_CONFIG")));
      example.discovery(otherDiscovery.address()).write(directory);
      AssignerProcesses.sendHangup(process);
      otherDiscovery.awaitRequest().startWatch();
      processes.assertLogContains(LOG, "INFO reload: discovery " + otherDiscovery.address());
      AssignerProcesses.sendHangup(process);
      otherDiscovery.awaitRequest().startWatch();
      assertFalse(proxy.isEnded);
      assertTrue(process.isAlive());
      assertFalse(log().contains("endpoint list watch lost"), log());
    }
  }

  private void reloadUnreadableFiles(Process process, Path file) throws Exception {
    Files.writeString(file, "{\"name\":\"n0\",\"seed\":");
    AssignerProcesses.sendHangup(process);
    processes.awaitLog(LOG, "WARN reload failed: configuration: malformed JSON: ");
    Files.delete(file);
    AssignerProcesses.sendHangup(process);
    processes.awaitLog(
        LOG,
        "WARN reload failed: EDGE_CONFIG: "
            + file
            + " can't be read; the previous configuration stays in effect");
  }

  /**
   * A process whose parent ignores SIGHUP, as nohup does, inherits the ignored signal and would not
   * reload. The run command of the deploy file restores the default handling.
   */
  @Test
  void sighupReloadsIfTheParentIgnoresIt() throws Exception {
    try (HttpStub discovery = new HttpStub();
        HttpStub otherDiscovery = new HttpStub()) {
      ExampleConfig example = new ExampleConfig().discovery(discovery.address());
      Process process = runInShell(example, "trap '' HUP; " + AssignerProcesses.deployCommand());
      processes.awaitReady(LOG);
      discovery.awaitRequest().startWatch();
      example.discovery(otherDiscovery.address()).write(directory);
      AssignerProcesses.sendHangup(process);
      otherDiscovery.awaitRequest().startWatch();
      processes.assertLogContains(LOG, "INFO reload: discovery " + otherDiscovery.address());
      assertFalse(log().contains("SIGHUP reload disabled"), log());
    }
  }

  /** Messages arrive during the shutdown, and a SIGHUP immediately before or after SIGTERM. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void sigtermUnderLoadExitsWithStatusZero(boolean isReloadFirst) throws Exception {
    Process process = serve(example());
    processes.awaitReady(LOG);
    List<RespClient> proxies = new ArrayList<>();
    for (int number = 0; number < 8; number++) {
      RespClient proxy = new RespClient(address()).startReading();
      proxy.send("joined proxy " + number + " zone north weight 2.5 fresh 1");
      proxies.add(proxy);
    }
    TestPeers.awaitUntil(
        "the tables of all proxies",
        () -> proxies.stream().noneMatch(proxy -> proxy.received.isEmpty()));
    RespClient late = new RespClient(address()).startReading();
    if (isReloadFirst) {
      AssignerProcesses.sendHangup(process);
    }
    late.send("ping");
    proxies.get(0).send("usage proxy 0 class order tries 1 failed 0 span_ms 1000");
    process.destroy();
    if (!isReloadFirst) {
      AssignerProcesses.trySendHangup(process);
    }
    assertEquals(0, AssignerProcesses.awaitExit(process));
    processes.assertLogContains(LOG, "INFO shutdown: n0 ends on SIGTERM");
    assertFalse(log().contains("ERROR") || log().contains("xception"), log());
    TestPeers.awaitUntil(
        "the end of all streams",
        () -> late.isEnded && proxies.stream().allMatch(proxy -> proxy.isEnded));
  }

  /**
   * Until the shutdown hook is registered, the virtual machine exits with the signal's status, 143.
   */
  @Test
  void sigtermDuringTheStartIsNotLoggedAsAFailure() throws Exception {
    Process process = serve(new ExampleConfig());
    processes.awaitLog(LOG, "INFO start: n0");
    process.destroy();
    int status = AssignerProcesses.awaitExit(process);
    assertTrue(status == 0 || status == 143, "status " + status);
    assertFalse(log().contains("ERROR"), log());
  }

  @Test
  void logWarnsIfSighupIsIgnored() throws Exception {
    String command = String.join(" ", AssignerProcesses.javaCommand("pearusher.cli.Main", "serve"));
    Process process = runInShell(new ExampleConfig(), "trap '' HUP; exec " + command);
    processes.awaitReady(LOG);
    processes.assertLogContains(
        LOG, "WARN SIGHUP reload disabled: the signal was ignored at process start");
    AssignerProcesses.sendHangup(process);
    assertTrue(process.isAlive());
  }

  @Test
  void invalidConfigurationPrintsOneLineAndExitsWithStatusTwo() throws Exception {
    Process process = serve(new ExampleConfig().with("\"tickUs\": 5000", "\"tickUs\": true"));
    assertEquals(2, AssignerProcesses.awaitExit(process));
    assertEquals(
        "pearusher: configuration: the key settings.tickUs is unreadable: 'true'\n", log());
  }

  private static String serverEntries(int from, int to, int idLength) {
    List<String> entries = new ArrayList<>();
    for (int k = from; k < to; k++) {
      String id = "s-" + k;
      String paddedId = id + "x".repeat(Math.max(0, idLength - id.length()));
      String hostPort = "10." + (k >> 16) + "." + (k >> 8 & 255) + "." + (k & 255) + ":8080";
      String zone = k % 2 == 0 ? "north" : "south";
      entries.add(TestPeers.endpointJson(paddedId, hostPort, zone, "in_service", 0));
    }
    return String.join(",", entries);
  }

  private static ExampleConfig withServers(ExampleConfig example, int count, int idLength) {
    return example.with(
        "\"instances\": [", "\"instances\": [" + serverEntries(0, count, idLength) + ",");
  }

  private void assertAnswersPing() throws Exception {
    try (RespClient client = new RespClient(address()).startReading()) {
      client.send("ping");
      TestPeers.awaitUntil("a pong", () -> client.received.contains(List.of("pong")));
    }
  }

  /**
   * With the heap of the deploy file: starts with 10,000 configured servers with ids of maximum
   * length, rejects a list of 100,000 servers, and accepts a list of 10,000, of which 6,000 are
   * new. Guards against running out of memory on large lists.
   */
  @Test
  void endpointListsAreAcceptedOrRejectedWithinTheDeployedHeap() throws Exception {
    try (HttpStub discovery = new HttpStub()) {
      ExampleConfig example = withServers(example(), 10_000, 255).discovery(discovery.address());
      Process process = runInShell(example, AssignerProcesses.deployCommand());
      processes.awaitReady(LOG);
      processes.assertLogContains(LOG, "10002 servers known");
      assertAnswersPing();
      sendOversizedList(discovery.awaitRequest(), process);
      assertAnswersPing();
      StubRequest nextWatch = discovery.awaitRequest();
      assertEquals(
          "/catalog/members?follow=1&since=41",
          nextWatch.path(),
          "generation of the last accepted list");
      nextWatch.startWatch();
      nextWatch.writeLine(TestPeers.endpointListJson(43, true, serverEntries(6_000, 16_000, 255)));
      processes.awaitLog(LOG, "INFO endpoint list watch restored");
      assertAnswersPing();
      assertTrue(process.isAlive(), log());
      assertFalse(log().contains("ERROR") || log().contains("OutOfMemory"), log());
    }
  }

  private void sendOversizedList(StubRequest watch, Process process) throws Exception {
    watch.startWatch();
    try {
      watch.writeLine(TestPeers.endpointListJson(42, true, serverEntries(0, 100_000, 10)));
    } catch (IOException closed) {
      assertTrue(process.isAlive(), log());
    }
    processes.awaitLog(LOG, "WARN endpoint list rejected: over ");
    processes.awaitLog(LOG, "WARN discovery lost: WATCH ended: TOO_LONG");
    processes.assertLogContains(LOG, " servers: the heap of 39 MB holds no more");
  }

  @Test
  void configuredListTooLargeForTheHeapExitsWithStatusTwo() throws Exception {
    Process process =
        runInShell(
            withServers(new ExampleConfig(), 100_000, 10), AssignerProcesses.deployCommand());
    assertEquals(2, AssignerProcesses.awaitExit(process));
    assertTrue(
        log()
            .matches(
                "pearusher: configuration: the key known.instances names over \\d+ "
                    + "servers: the heap of 39 MB holds no more\n"),
        log());
  }

  @Test
  void policyFailureLogsAStackTraceAndExitsWithStatusOne() throws Exception {
    Process process =
        processes.launch(
            new ExampleConfig().write(directory),
            LOG,
            AssignerProcesses.javaCommand(FailingAssigner.class.getName()));
    assertEquals(1, AssignerProcesses.awaitExit(process));
    processes.assertLogContains(LOG, "ERROR the policy failed, ending with status 1");
    assertTrue(log().contains("no such weight") && log().contains("at "), log());
  }
}
