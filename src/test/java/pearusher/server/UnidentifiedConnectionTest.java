package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Limits of connections that have not identified themselves, which must not keep proxies out. */
class UnidentifiedConnectionTest extends LoopbackFixture {
  /** None of the messages of the connection reaches the policy. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "!GET / HTTP/1.1\r\n\r\n",
        "!*1\r\n$9000\r\n",
        "!*9999999\r\n",
        "jump",
        "joined proxy",
        "joined proxy 99 zone north weight 1 fresh 1",
        "joined proxy 3 zone west weight 1 fresh 1",
        "collector zone west",
        "collector",
        "usage proxy 3 class order tries 1 failed 0 span_ms 1",
        "heard zone north server s-5be2a07c tries 1 failed 0 mean_ms 1 span_ms 1",
        "applied proxy 3 mark 1 took_ms 1",
        "update lines s-5be2a07c:1",
        "applied proxy -1 mark 1 took_ms 1"
      })
  void unidentifiedConnectionIsClosedAtItsFirstInvalidMessage(String message) throws Exception {
    example.with("\"stranger_ms\": 2000", "\"stranger_ms\": 600000");
    start();
    policy.awaitEvent("onEndpointList");
    RespClient connection = new RespClient(address).startReading();
    connection.send(
        message.startsWith("!")
            ? message.substring(1).getBytes(StandardCharsets.UTF_8)
            : TestPeers.encodeLine(message));
    TestPeers.awaitUntil("the end of the connection", () -> connection.isEnded);
    awaitLog("WARN unidentified connections rejected: 1 so far, the last: ");
    assertEquals(List.of(), policy.events);
  }

  /** The identification timeout starts when the connection is accepted. */
  @ParameterizedTest
  @ValueSource(strings = {"pings", "bytes"})
  void messagesOfAnUnidentifiedConnectionDoNotExtendItsTimeout(String content) throws Exception {
    example.with("\"stranger_ms\": 2000", "\"stranger_ms\": 300");
    start();
    ProxyClient identified = joinProxy(3);
    RespClient connection = new RespClient(address).startReading();
    byte[] joined =
        TestPeers.encodeLine("joined proxy 5 zone north weight 1 note " + "x".repeat(8000));
    int[] sent = {0};
    TestPeers.awaitUntil(
        "the end of the connection",
        () -> {
          try {
            connection.send(
                content.equals("pings")
                    ? TestPeers.encodeLine("ping")
                    : new byte[] {joined[sent[0]++]});
          } catch (IOException e) {
            return true;
          }
          return connection.isEnded;
        });
    identified.send("usage proxy 3 class lookup tries 5 failed 0 span_ms 1000");
    policy.awaitEvent("onUsageReport 3");
    assertFalse(identified.isEnded);
  }

  /** Connections that remained counted after their end would keep proxies out permanently. */
  @Test
  void connectionsThatEndImmediatelyAreNotCounted() throws Exception {
    AssignerServer server = start();
    ProxyClient first = joinProxy(3);
    for (int k = 0; k < 300; k++) {
      RespClient connection = new RespClient(address);
      if (k % 3 == 0) {
        connection.send("collector zone north");
      }
      if (k % 2 == 0) {
        connection.reset();
      } else {
        connection.close();
      }
    }
    TestPeers.awaitUntil(
        "a count of one connection, that of the proxy", () -> server.streams().connections() == 1);
    assertFalse(first.isEnded);
  }

  /**
   * 300 connections that send half a message each compete for 128 descriptors, while a proxy joins
   * by a message in two pieces.
   */
  @Test
  void incompleteMessagesDoNotKeepProxiesOut() throws Exception {
    example
        .with("\"sockets\": 1024", "\"sockets\": 128")
        .with("\"stranger_ms\": 2000", "\"stranger_ms\": 400");
    start();
    ProxyClient first = joinProxy(3);
    List<RespClient> connections = new ArrayList<>();
    byte[] half = Arrays.copyOf(TestPeers.encodeLine("joined proxy 6 zone north weight 1"), 30);
    for (int k = 0; k < 300; k++) {
      connections.add(new RespClient(address).startReading());
      try {
        connections.get(k).send(half);
      } catch (IOException e) {
        // The assigner closed this connection; the loop continues with the others.
      }
    }
    byte[] joined = TestPeers.encodeLine("joined proxy 5 zone north weight 2.5 fresh 1");
    RespClient second = new RespClient(address);
    second.send(Arrays.copyOf(joined, 40));
    second.send(Arrays.copyOfRange(joined, 40, joined.length));
    policy.awaitEvent("onProxyJoined 5");
    TestPeers.awaitUntil(
        "connections are closed",
        () -> connections.stream().allMatch(connection -> connection.isEnded));
    assertFalse(first.isEnded);
    for (RespClient connection : connections) {
      connection.close();
    }
    second.close();
  }

  /**
   * Descriptors are reserved for proxies: at the limit, the unidentified connection that has been
   * idle for longest is closed first.
   */
  @Test
  void silentUnidentifiedConnectionsDoNotKeepProxiesOut() throws Exception {
    example.with("\"sockets\": 1024", "\"sockets\": 160");
    start();
    ProxyClient first = joinProxy(3);
    List<RespClient> connections = new ArrayList<>();
    for (int k = 0; k < 300; k++) {
      connections.add(new RespClient(address).startReading());
    }
    ProxyClient second = joinProxy(5);
    TestPeers.awaitUntil(
        "connections are closed",
        () -> connections.stream().filter(connection -> connection.isEnded).count() >= 230);
    assertFalse(first.isEnded || second.isEnded);
    for (RespClient connection : connections) {
      connection.close();
    }
  }

  /** A proxy or collector may be idle indefinitely after it has identified itself. */
  @Test
  void silentUnidentifiedConnectionsTimeOutAndStreamsDoNot() throws Exception {
    example.with("\"stranger_ms\": 2000", "\"stranger_ms\": 300");
    start();
    ProxyClient idleProxy = joinProxy(3);
    RespClient collector = new RespClient(address).startReading();
    collector.send("collector zone north");
    RespClient connection = new RespClient(address).startReading();
    TestPeers.awaitUntil("the end of the first connection", () -> connection.isEnded);
    RespClient next = new RespClient(address).startReading();
    TestPeers.awaitUntil("the end of the second connection", () -> next.isEnded);
    collector.send("usage proxy 3 class lookup tries 5 failed 0 span_ms 1000");
    policy.awaitEvent("onUsageReport 3");
    idleProxy.send("usage proxy 3 class order tries 1 failed 0 span_ms 1000");
    policy.awaitEvent("onUsageReport 3 1");
    collector.close();
  }
}
