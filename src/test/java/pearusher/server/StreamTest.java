package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import pearusher.protocol.EndpointList;

/** Streams of proxies: readiness, replacement by a newer stream, and a proxy that stops reading. */
class StreamTest extends LoopbackFixture {
  private static final int MANY_SERVERS = 4000;

  /** Number of small updates before servers are added and updates are large. */
  private static final int SMALL_UPDATES = 50;

  /** A pong signals readiness, so pings are answered only after the policy has the server list. */
  @Test
  void pongIsSentOnlyAfterThePolicyHasReceivedTheServers() throws Exception {
    ServerSocket portFinder = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    int port = portFinder.getLocalPort();
    portFinder.close();
    example.listen("127.0.0.1:" + port);
    AtomicReference<RespClient> earlyClient = new AtomicReference<>();
    AtomicInteger pongsBeforeStart = new AtomicInteger(-1);
    start(
        (settings, commands) -> {
          try {
            earlyClient.set(
                new RespClient(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                    .startReading());
            earlyClient.get().send("ping");
            earlyClient.get().send("ping");
            pongsBeforeStart.set(earlyClient.get().received.size());
          } catch (IOException e) {
            throw new IllegalStateException(e);
          }
          return policy.apply(settings, commands);
        });
    assertEquals(0, pongsBeforeStart.get());
    TestPeers.awaitUntil("pongs", () -> earlyClient.get().received.size() == 2);
    assertEquals(List.of("pong"), earlyClient.get().received.get(0));
    assertTrue(
        policy.events.get(0).startsWith("onEndpointList CACHED [ServerEntry[server=0, zone=0"),
        policy.events.get(0));
    try (RespClient lateClient = new RespClient(address).startReading()) {
      lateClient.send("ping");
      TestPeers.awaitUntil("the pong", () -> lateClient.received.size() == 1);
    }
  }

  /** The end of the old stream, which may be detected late, must not affect the new stream. */
  @Test
  void newStreamOfAProxyReplacesTheOldOne() throws Exception {
    start();
    AppliedUpdates applied = new AppliedUpdates(CLASSES);
    ProxyClient old = joinProxy(3, applied, true);
    policy.awaitEvent("onProxyJoined 3");
    ProxyClient replacement = joinProxy(3, applied, false);
    policy.awaitEvent("onProxyLeft 3");
    policy.awaitEvent("onProxyJoined 3 0 2.5 false");
    old.send("applied proxy 3 mark 9 took_ms 1");
    old.send("usage proxy 3 class lookup tries 5 failed 0 span_ms 1000");
    policy.awaitEvent("onUsageReport 3 0 5");
    old.close();
    policy.command(commands -> commands.requestAck(10, true));
    TestPeers.awaitUntil("the acknowledgement request", () -> applied.ackNumbers.contains(10));
    replacement.send("applied proxy 3 mark 10 took_ms 0.1");
    policy.awaitEvent("onAcknowledgement 3 10");
    assertTrue(
        policy.events.stream()
            .noneMatch(
                event ->
                    event.startsWith("onProxyLeft") || event.startsWith("onAcknowledgement 3 9")));
    policy.command(
        commands -> {
          commands.setWeight(0, 1, 0.5);
          commands.bindProxy(3, 0, 0);
        });
    TestPeers.awaitUntil(
        "the table", () -> applied.usableWeights("lookup").equals(Map.of("s-0badcafe", 0.5f)));
    assertEquals(2, replacement.received.size());
    assertEquals(0, old.received.size());
    replacement.close();
    policy.awaitEvent("onProxyLeft 3");
  }

  /** The connection of the proxy is closed when the data buffered for it exceeds a limit. */
  @Test
  void proxyThatStopsReadingDoesNotDelayOthers() throws Exception {
    start();
    RespClient stopped = new RespClient(address);
    stopped.send("joined proxy 3 zone north weight 1 fresh 1");
    policy.awaitEvent("onProxyJoined 3");
    ProxyClient other = joinProxy(5);
    policy.command(
        commands -> {
          commands.bindProxy(3, 0, 0);
          commands.bindProxy(5, 0, 0);
        });
    int updates = 0;
    while (policy.events.stream().noneMatch(event -> event.equals("onProxyLeft 3"))) {
      assertTrue(updates < 5000, "stopped proxy still connected after 5000 updates");
      updates++;
      int number = updates;
      commandSmallUpdate(number);
      TestPeers.awaitUntil("update " + number, () -> other.applied.ackNumbers.contains(number));
      if (updates == SMALL_UPDATES) {
        addServers();
      }
      if (updates > SMALL_UPDATES) {
        commandLargeUpdate(number);
      }
    }
    awaitLog("WARN connection of proxy 3 ended: SEND_BUFFER_FULL: over 524288 bytes unsent");
    assertEquals(List.of(), other.applied.faults);
    assertFalse(other.isEnded);
    stopped.close();
  }

  private void commandSmallUpdate(int number) {
    policy.command(
        commands -> {
          for (int server = 0; server < 2; server++) {
            commands.setWeight(0, server, number);
          }
          for (int requestClass = 0; requestClass < 2; requestClass++) {
            commands.setAdmission(0, 1 << requestClass, number + requestClass, 1);
          }
          commands.requestAck(number, true);
        });
  }

  private void commandLargeUpdate(int number) {
    policy.command(
        commands -> {
          for (int server = 2; server < MANY_SERVERS; server++) {
            commands.setWeight(0, server, number);
          }
        });
  }

  private void addServers() throws Exception {
    String[] entries = new String[MANY_SERVERS];
    for (int k = 0; k < MANY_SERVERS; k++) {
      entries[k] = TestPeers.endpointJson("s-many-" + k, "127.0.0.1:1", "north", "in_service", 0);
    }
    EndpointList list =
        TestPeers.readEndpointList(
            TestPeers.endpointListJson(99, false, entries), example.read(directory).names());
    servers.get(0).controller().onEndpointList(list, false);
    policy.awaitEvent("onEndpointList DELTA");
  }
}
