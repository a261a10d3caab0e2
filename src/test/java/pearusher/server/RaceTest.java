package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import pearusher.policy.PolicyCommands;
import pearusher.transport.StreamConnection;
import pearusher.transport.StreamServer;

/**
 * Races between two events, in both orders: of discovery, of health checks, of streams, and for
 * descriptors. A test forces the order by blocking the decision thread in an iteration, or by
 * delaying bytes.
 */
class RaceTest extends LoopbackFixture {
  private static final String OLDER_LIST =
      TestPeers.endpointListJson(
          30, true, TestPeers.endpointJson("s-5be2a07c", "127.0.0.1:9", "north", "in_service", 0));

  /** Blocks the decision thread until the returned latch is released, then issues commands. */
  private CountDownLatch blockDecisions(Consumer<PolicyCommands> commandsAfterwards)
      throws Exception {
    CountDownLatch isBlocked = new CountDownLatch(1);
    CountDownLatch latch = new CountDownLatch(1);
    policy.command(
        commands -> {
          isBlocked.countDown();
          try {
            latch.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          commandsAfterwards.accept(commands);
        });
    isBlocked.await();
    return latch;
  }

  private void awaitPendingEvents(int events) throws InterruptedException {
    TestPeers.awaitUntil(
        events + " pending events", () -> servers.get(0).controller().pendingEvents() >= events);
  }

  /**
   * A line or the end of the previous watch arrives while its successor is started. It must neither
   * change the endpoint list nor fail the new watch.
   */
  @ParameterizedTest
  @ValueSource(strings = {"line", "end"})
  void eventsOfAReplacedWatchAreIgnored(String lateEvent) throws Exception {
    StubRequest old = startWithWatch();
    policy.awaitEvent("onEndpointList CACHED");
    old.startWatch();
    CountDownLatch latch = blockDecisions(commands -> commands.watchEndpoints(true));
    if (lateEvent.equals("line")) {
      old.writeLine(
          TestPeers.endpointListJson(
              50, true, TestPeers.endpointJson("s-old", "127.0.0.1:9", "north", "in_service", 0)));
    } else {
      old.reset();
    }
    awaitPendingEvents(1);
    latch.countDown();
    StubRequest next = discovery.awaitRequest();
    assertEquals("/catalog/members?follow=1&since=41", next.path());
    next.startWatch();
    next.writeLine(TestPeers.endpointListJson(42, false));
    TestPeers.awaitUntil(
        "the line of the new watch", () -> policy.events.contains("onEndpointList DELTA []"));
    assertEquals(List.of("onEndpointList DELTA []"), policy.events);
  }

  /** A watch continues from the generation of the last line of its predecessor. */
  @Test
  void eventsBeforeTheReplacementOfAWatchAreProcessed() throws Exception {
    StubRequest old = startWithWatch();
    policy.awaitEvent("onEndpointList CACHED");
    old.startWatch();
    old.writeLine(TestPeers.endpointListJson(43, false));
    policy.awaitEvent("onEndpointList DELTA []");
    policy.command(commands -> commands.watchEndpoints(true));
    assertEquals("/catalog/members?follow=1&since=43", discovery.awaitRequest().path());
    assertEquals(List.of(), policy.events);
  }

  /**
   * A watch that sends single bytes does not reach the idle timeout, but delivers no line either.
   */
  @Test
  void watchWithoutCompleteLinesTimesOut() throws Exception {
    example.with("\"silent_ms\": 5000", "\"silent_ms\": 300");
    StubRequest watch = startWithWatch();
    policy.awaitEvent("onEndpointList CACHED");
    watch.startWatch();
    watch.writeLine(TestPeers.endpointListJson(42, false));
    policy.awaitEvent("onEndpointList DELTA []");
    watch.write("100000\r\n");
    TestPeers.awaitUntil(
        "the failure of the watch",
        () -> {
          try {
            watch.write(" ");
          } catch (IOException closed) {
            return true;
          }
          return policy.events.contains("onEndpointList FAILED []");
        });
    policy.awaitEvent("onEndpointList FAILED []");
    awaitLog("WARN discovery lost: WATCH ended: TIMED_OUT");
  }

  /** A watch ends within a line. The complete lines before it are processed. */
  @Test
  void truncatedLineIsIgnored() throws Exception {
    StubRequest watch = startWithWatch();
    policy.awaitEvent("onEndpointList CACHED");
    watch.startWatch();
    String lines =
        TestPeers.endpointListJson(43, false) + "\n" + TestPeers.endpointListJson(44, true);
    watch.write(Integer.toHexString(lines.length() + 1) + "\r\n" + lines);
    watch.reset();
    policy.awaitEvent("onEndpointList DELTA []");
    policy.awaitEvent("onEndpointList FAILED []");
    assertEquals(List.of(), policy.events);
  }

  /**
   * A lagging replica of discovery starts a watch with a complete list that is older than the
   * current one. Accepting it would make draining servers ready again. An older list is accepted
   * only after no newer list has arrived within the maximum poll interval, since discovery must
   * then have been restarted.
   */
  @Test
  void olderCompleteListIsIgnoredUntilNoNewerListArrivesInTime() throws Exception {
    example.with("\"askWithinUs\": 10000000", "\"askWithinUs\": 400000");
    StubRequest watch = startWithWatch();
    policy.awaitEvent("onEndpointList CACHED");
    long startNs = System.nanoTime();
    int rejectedLists = 0;
    while (policy.events.stream().noneMatch(event -> event.startsWith("onEndpointList COMPLETE"))) {
      watch.startWatch();
      watch.writeLine(OLDER_LIST);
      TestPeers.awaitUntil("an event of the list", () -> !policy.events.isEmpty());
      if (policy.events.remove("onEndpointList FAILED []")) {
        rejectedLists++;
        policy.command(commands -> commands.watchEndpoints(true));
        watch = discovery.awaitRequest();
        assertEquals(
            "/catalog/members?follow=1&since=41",
            watch.path(),
            "generation of the last accepted list");
      }
    }
    assertTrue(
        rejectedLists > 0 && System.nanoTime() - startNs >= 400_000_000L,
        rejectedLists + " rejected lists");
    awaitLog("WARN endpoint list ignored: generation 30 is older than 41, discovery lags");
    awaitLog("WARN endpoint list accepted after a discovery restart: generation 30 follows 41");
    assertEquals(
        1,
        log.toString(StandardCharsets.UTF_8)
            .lines()
            .filter(line -> line.contains("endpoint list ignored"))
            .count());
  }

  /** The response of a fetch that is older than the last line of the watch must not revert it. */
  @Test
  void fetchOlderThanTheWatchIsIgnored() throws Exception {
    StubRequest watch = startWithWatch();
    policy.awaitEvent("onEndpointList CACHED");
    policy.command(PolicyCommands::fetchEndpoints);
    StubRequest fetch = discovery.awaitRequest();
    watch.startWatch();
    watch.writeLine(
        TestPeers.endpointListJson(
            43,
            false,
            TestPeers.endpointJson("s-0badcafe", "127.0.0.1:9", "south", "terminating", 0)));
    policy.awaitEvent("onEndpointList DELTA [ServerEntry[server=1");
    fetch.respond(
        200,
        TestPeers.endpointListJson(
            42,
            true,
            TestPeers.endpointJson("s-0badcafe", "127.0.0.1:9", "south", "in_service", 0)));
    TestPeers.awaitUntil("the event of the fetch", () -> !policy.events.isEmpty());
    assertEquals(List.of("onEndpointList DELTA []"), policy.events);
  }

  /** The connection is closed one byte before the end of the body. */
  @Test
  void listShorterThanItsContentLengthFails() throws Exception {
    start();
    policy.awaitEvent("onEndpointList CACHED");
    policy.command(PolicyCommands::fetchEndpoints);
    StubRequest request = discovery.awaitRequest();
    String body = TestPeers.endpointListJson(45, true);
    request.write("HTTP/1.1 200 OK\r\nContent-Length: " + (body.length() + 1) + "\r\n\r\n" + body);
    request.socket().close();
    policy.awaitEvent("onEndpointList FAILED []");
    assertEquals(List.of(), policy.events);
  }

  /**
   * The assigner reports one outcome and closes the connection at the timeout. The example's
   * timeouts of 4 s in all let the request arrive before, also if the first call of a process takes
   * half a second under load.
   */
  @Test
  void healthCheckResponseAfterItsTimeoutIsIgnored() throws Exception {
    try (HttpStub serverStub = new HttpStub()) {
      example.with("127.0.0.1:9001", serverStub.address());
      start();
      policy.awaitEvent("onEndpointList CACHED");
      policy.command(commands -> commands.checkHealth(0));
      StubRequest request = serverStub.awaitRequest();
      policy.awaitEvent("onHealthCheckResult 0 TIMED_OUT");
      try {
        request.respond(200, "TEXT util=0.61");
      } catch (IOException closed) {
        assertNotNull(closed.getMessage());
      }
      TestPeers.awaitUntil(
          "the end of the connection",
          () -> {
            try {
              return request.socket().getInputStream().read() < 0;
            } catch (IOException reset) {
              return true;
            }
          });
      assertEquals(List.of(), policy.events);
    }
  }

  /**
   * A proxy reconnects immediately after joining, and the assigner reads the first join after the
   * second. The dead connection must not replace the new one, regardless of when its end is
   * detected.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void joinThatIsReadLateDoesNotReplaceTheNewerStream(boolean isReset) throws Exception {
    example.with("\"stranger_ms\": 2000", "\"stranger_ms\": 600000");
    start();
    RespClient first = new RespClient(address).startReading();
    first.send("ping");
    TestPeers.awaitUntil("the first connection is accepted", () -> first.received.size() == 1);
    ProxyClient second = joinProxy(3);
    first.send("joined proxy 3 zone north weight 9 fresh 1");
    first.send("usage proxy 3 class lookup tries 5 failed 0 span_ms 1000");
    policy.awaitEvent("onUsageReport 3 0 5");
    if (isReset) {
      first.reset();
    } else {
      first.close();
    }
    policy.command(commands -> commands.requestAck(7, true));
    TestPeers.awaitUntil(
        "the acknowledgement request", () -> second.applied.ackNumbers.contains(7));
    assertEquals(List.of(), policy.events, "no join and no leave");
    second.close();
    policy.awaitEvent("onProxyLeft 3");
  }

  /** A complete and an incomplete message arrive together with the end of the stream. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void completeMessagesBeforeTheEndAreProcessed(boolean isReset) throws Exception {
    start();
    ProxyClient proxy = joinProxy(3);
    byte[] last = TestPeers.encodeLine("usage proxy 3 class lookup tries 5 failed 0 span_ms 1000");
    byte[] both = Arrays.copyOf(last, last.length + 20);
    System.arraycopy(last, 0, both, last.length, 20);
    proxy.send(both);
    if (isReset) {
      // A reset may discard bytes buffered by the kernel, so it is sent after the message is read.
      policy.awaitEvent("onUsageReport 3 0 5");
      proxy.reset();
    } else {
      proxy.socket.shutdownOutput();
      policy.awaitEvent("onUsageReport 3 0 5");
    }
    policy.awaitEvent("onProxyLeft 3");
    assertEquals(List.of(), policy.events);
  }

  /** A stream may be idle between messages, but not within a message. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void incompleteMessageTimesOut(boolean isCollector) throws Exception {
    example
        .with("\"silent_ms\": 5000", "\"silent_ms\": 50")
        .with("\"stranger_ms\": 2000", "\"stranger_ms\": 300");
    start();
    ProxyClient idleProxy = joinProxy(5);
    RespClient proxy = isCollector ? new RespClient(address).startReading() : joinProxy(3);
    if (isCollector) {
      proxy.send("collector zone north");
    }
    byte[] message =
        TestPeers.encodeLine("usage proxy 5 class lookup tries 5 failed 0 span_ms 1000");
    proxy.send(Arrays.copyOf(message, 30));
    proxy.send(Arrays.copyOfRange(message, 30, message.length));
    if (isCollector) {
      policy.awaitEvent("onUsageReport 5 0 5");
    }
    proxy.send(Arrays.copyOf(message, 30));
    TestPeers.awaitUntil("the end of the connection", () -> proxy.isEnded);
    idleProxy.send(message);
    policy.awaitEvent("onUsageReport 5 0 5");
    assertFalse(idleProxy.isEnded);
  }

  /**
   * A stream ends in the iteration that commands an update for its proxy. The update is discarded,
   * also if the proxy rejoins at the same time.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void updateForAStreamThatEndsInTheSameIterationIsDiscarded(boolean rejoins) throws Exception {
    start();
    ProxyClient proxy = joinProxy(3);
    ProxyClient other = joinProxy(5);
    CountDownLatch latch =
        blockDecisions(
            commands -> {
              commands.setWeight(0, 1, 0.5);
              commands.bindProxy(3, 0, 0);
              commands.bindProxy(5, 0, 0);
              commands.requestAck(9, true);
            });
    proxy.reset();
    awaitPendingEvents(1);
    ProxyClient newStream = rejoins ? joinProxyWithoutWaiting(3) : null;
    latch.countDown();
    policy.awaitEvent("onProxyLeft 3");
    if (rejoins) {
      policy.awaitEvent("onProxyJoined 3");
      newStream.send("applied proxy 3 mark 9 took_ms 0.1");
      awaitLog("acknowledgements dropped: 1 so far, the last of proxy 3");
      assertEquals(0, newStream.received.size(), "updates of the previous stream");
      assertFalse(newStream.isEnded);
    }
    TestPeers.awaitUntil(
        "the table of the other proxy", () -> other.applied.ackNumbers.contains(9));
    assertEquals(List.of(), policy.events);
  }

  private ProxyClient joinProxyWithoutWaiting(int number) throws Exception {
    int before = servers.get(0).controller().pendingEvents();
    ProxyClient proxy = joinProxy(number, new AppliedUpdates(CLASSES), false);
    awaitPendingEvents(before + 1);
    return proxy;
  }

  /** A check for new connections that finds none must not evict a connection. */
  @Test
  void onlyANewConnectionEvictsAnUnidentifiedOne() throws Exception {
    example
        .with("\"sockets\": 1024", "\"sockets\": 128")
        .with("\"stranger_ms\": 2000", "\"stranger_ms\": 600000");
    StreamServer streams = start().streams();
    List<RespClient> unidentified = new ArrayList<>();
    unidentified.add(new RespClient(address).startReading());
    // The registry orders connections by when they were opened, and several threads open accepted
    // connections in any order. This one is open before the next one is made; it is not evicted,
    // but returned to the unidentified connections.
    awaitEvictionCandidate(streams).onReplaced();
    for (int k = 1; k < streams.maxConnections(); k++) {
      unidentified.add(new RespClient(address).startReading());
    }
    TestPeers.awaitUntil(
        "all connections are accepted", () -> streams.connections() == streams.maxConnections());
    RespClient newcomer = new RespClient(address).startReading();
    newcomer.send("ping");
    TestPeers.awaitUntil("the pong of the new connection", () -> newcomer.received.size() == 1);
    TestPeers.awaitUntil("the oldest connection is evicted", () -> unidentified.get(0).isEnded);
    unidentified.remove(0);
    for (RespClient connection : unidentified) {
      connection.send("ping");
    }
    TestPeers.awaitUntil(
        "the pongs of all other connections",
        () -> unidentified.stream().allMatch(connection -> connection.received.size() == 1));
    for (RespClient connection : unidentified) {
      connection.close();
    }
    newcomer.close();
  }

  private static StreamConnection awaitEvictionCandidate(StreamServer streams)
      throws InterruptedException {
    List<StreamConnection> candidates = new ArrayList<>();
    TestPeers.awaitUntil(
        "the connection is an eviction candidate",
        () -> streams.takeEvictionCandidate().map(candidates::add).orElse(false));
    return candidates.get(0);
  }

  /** A connection joins while it is an eviction candidate: the event that happens first wins. */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void earlierOfJoinAndEvictionWins(boolean isJoinFirst) throws Exception {
    StreamServer streams = start().streams();
    policy.awaitEvent("onEndpointList CACHED");
    ProxyClient proxy = new ProxyClient(address, new AppliedUpdates(CLASSES));
    StreamConnection candidate = awaitEvictionCandidate(streams);
    if (!isJoinFirst) {
      candidate.evict();
      TestPeers.awaitUntil("the end of the connection", () -> proxy.isEnded);
      assertEquals(List.of(), policy.events);
      return;
    }
    proxy.send("joined proxy 3 zone north weight 1 fresh 1");
    policy.awaitEvent("onProxyJoined 3");
    candidate.evict();
    policy.command(commands -> commands.requestAck(7, true));
    TestPeers.awaitUntil("the acknowledgement request", () -> proxy.applied.ackNumbers.contains(7));
    assertFalse(proxy.isEnded);
    assertEquals(List.of(), policy.events);
  }
}
