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
 * Races between two events, in each order. A test forces the order by holding the decision thread
 * in an iteration, or by holding bytes back.
 */
class RaceTest extends LoopbackFixture {
  private static final String OLD =
      TestPeers.endpointListJson(
          30, true, TestPeers.endpointJson("s-5be2a07c", "127.0.0.1:9", "north", "in_service", 0));

  /** Holds the decision thread until the latch is released, then issues commands. */
  private CountDownLatch holdDecisions(Consumer<PolicyCommands> then) throws Exception {
    CountDownLatch isHolding = new CountDownLatch(1);
    CountDownLatch latch = new CountDownLatch(1);
    policy.command(
        commands -> {
          isHolding.countDown();
          try {
            latch.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          then.accept(commands);
        });
    isHolding.await();
    return latch;
  }

  private void awaitPendingEvents(int events) throws InterruptedException {
    TestPeers.awaitUntil(
        events + " events wait", () -> servers.get(0).controller().pendingEvents() >= events);
  }

  // Discovery.

  /** They arrive while the new watch starts, and must neither change the list nor fail it. */
  @ParameterizedTest
  @ValueSource(strings = {"line", "end"})
  void eventsOfAMovedWatchAreIgnored(String what) throws Exception {
    StubRequest old = startWithWatch();
    policy.awaitEvent("onEndpointList CACHED");
    old.startWatch();
    CountDownLatch latch = holdDecisions(commands -> commands.watchEndpoints(true));
    if (what.equals("line")) {
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
        "the new one's line", () -> policy.events.contains("onEndpointList DELTA []"));
    assertEquals(List.of("onEndpointList DELTA []"), policy.events);
  }

  /** The other order: the new watch continues from the generation of the last event. */
  @Test
  void eventsBeforeAMoveOfTheWatchCount() throws Exception {
    StubRequest old = startWithWatch();
    policy.awaitEvent("onEndpointList CACHED");
    old.startWatch();
    old.writeLine(TestPeers.endpointListJson(43, false));
    policy.awaitEvent("onEndpointList DELTA []");
    policy.command(commands -> commands.watchEndpoints(true));
    assertEquals("/catalog/members?follow=1&since=43", discovery.awaitRequest().path());
    assertEquals(List.of(), policy.events);
  }

  /** A watch that sends a byte now and then is never idle, but sends no line either. */
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
        "the loss",
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

  /** Complete lines before it count. */
  @Test
  void truncatedLineIsIgnored() throws Exception {
    StubRequest watch = startWithWatch();
    policy.awaitEvent("onEndpointList CACHED");
    watch.startWatch();
    String whole =
        TestPeers.endpointListJson(43, false) + "\n" + TestPeers.endpointListJson(44, true);
    watch.write(Integer.toHexString(whole.length() + 1) + "\r\n" + whole);
    watch.reset();
    policy.awaitEvent("onEndpointList DELTA []");
    policy.awaitEvent("onEndpointList FAILED []");
    assertEquals(List.of(), policy.events);
  }

  /**
   * A replica of discovery that lags starts a watch with a complete list older than the current
   * one, by which draining servers would become ready again. Only if nothing newer arrives for long
   * has discovery started anew.
   */
  @Test
  void olderCompleteListIsIgnoredUntilNothingNewerArrivesForLong() throws Exception {
    example.with("\"askWithinUs\": 10000000", "\"askWithinUs\": 400000");
    StubRequest watch = startWithWatch();
    policy.awaitEvent("onEndpointList CACHED");
    long first = System.nanoTime();
    int asked = 0;
    while (policy.events.stream().noneMatch(event -> event.startsWith("onEndpointList COMPLETE"))) {
      watch.startWatch();
      watch.writeLine(OLD);
      TestPeers.awaitUntil("an answer", () -> !policy.events.isEmpty());
      if (policy.events.remove("onEndpointList FAILED []")) {
        asked++;
        policy.command(commands -> commands.watchEndpoints(true));
        watch = discovery.awaitRequest();
        assertEquals(
            "/catalog/members?follow=1&since=41", watch.path(), "the last good list stays");
      }
    }
    assertTrue(asked > 0 && System.nanoTime() - first >= 400_000_000L, asked + " older lists");
    awaitLog("WARN discovery lagging: generation 30 after 41, ignored");
    awaitLog("WARN discovery restarted: generation 30 after 41");
    assertEquals(
        1,
        log.toString(StandardCharsets.UTF_8)
            .lines()
            .filter(l -> l.contains("discovery lagging"))
            .count());
  }

  /** A fetch must not undo what the watch has reported since. */
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
    TestPeers.awaitUntil("the fetch", () -> !policy.events.isEmpty());
    assertEquals(List.of("onEndpointList DELTA []"), policy.events);
  }

  /** The connection ends before the whole body has arrived. */
  @Test
  void listShorterThanItsContentLengthFails() throws Exception {
    start();
    policy.awaitEvent("onEndpointList CACHED");
    policy.command(PolicyCommands::fetchEndpoints);
    StubRequest call = discovery.awaitRequest();
    String body = TestPeers.endpointListJson(45, true);
    call.write("HTTP/1.1 200 OK\r\nContent-Length: " + (body.length() + 1) + "\r\n\r\n" + body);
    call.socket().close();
    policy.awaitEvent("onEndpointList FAILED []");
    assertEquals(List.of(), policy.events);
  }

  // Health checks.

  /** The assigner closes the connection at the timeout. */
  @Test
  void healthCheckResponseAfterItsTimeoutIsIgnored() throws Exception {
    example
        .with("\"answer_ms\": 3000", "\"answer_ms\": 200")
        .with("\"connect_ms\": 1000", "\"connect_ms\": 100");
    try (HttpStub serverStub = new HttpStub()) {
      example.with("127.0.0.1:9001", serverStub.address());
      start();
      policy.awaitEvent("onEndpointList CACHED");
      policy.command(commands -> commands.checkHealth(0));
      StubRequest call = serverStub.awaitRequest();
      policy.awaitEvent("onHealthCheckResult 0 TIMED_OUT");
      try {
        call.respond(200, "TEXT util=0.61");
      } catch (IOException closed) {
        assertNotNull(closed.getMessage());
      }
      TestPeers.awaitUntil(
          "its end",
          () -> {
            try {
              return call.socket().getInputStream().read() < 0;
            } catch (IOException reset) {
              return true;
            }
          });
      assertEquals(List.of(), policy.events);
    }
  }

  // Streams.

  /**
   * A proxy that is disconnected right after it joined connects again, and its first join may be
   * read after the second: the dead connection must not replace the new one, whenever its end is
   * seen.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void joinThatIsReadLateDoesNotReplaceTheNewerStream(boolean reset) throws Exception {
    example.with("\"stranger_ms\": 2000", "\"stranger_ms\": 600000");
    start();
    RespClient first = new RespClient(address).startReading();
    first.send("ping");
    TestPeers.awaitUntil("it is accepted", () -> first.received.size() == 1);
    ProxyClient second = joinProxy(3);
    first.send("joined proxy 3 zone north weight 9 fresh 1");
    first.send("usage proxy 3 class lookup tries 5 failed 0 span_ms 1000");
    policy.awaitEvent("onUsageReport 3 0 5");
    if (reset) {
      first.reset();
    } else {
      first.close();
    }
    policy.command(commands -> commands.requestAck(7, true));
    TestPeers.awaitUntil("the acknowledgement request", () -> second.held.ackNumbers.contains(7));
    assertEquals(List.of(), policy.events, "neither joined nor left");
    second.close();
    policy.awaitEvent("onProxyLeft 3");
  }

  /** A complete and an incomplete message arrive together with the end of the stream. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void completeMessagesBeforeTheEndCount(boolean reset) throws Exception {
    start();
    ProxyClient proxy = joinProxy(3);
    byte[] last = TestPeers.encodeLine("usage proxy 3 class lookup tries 5 failed 0 span_ms 1000");
    byte[] both = Arrays.copyOf(last, last.length + 20);
    System.arraycopy(last, 0, both, last.length, 20);
    proxy.send(both);
    if (reset) {
      // A reset may discard what the kernel has buffered: it is sent once the message is read.
      policy.awaitEvent("onUsageReport 3 0 5");
      proxy.reset();
    } else {
      proxy.socket.shutdownOutput();
      policy.awaitEvent("onUsageReport 3 0 5");
    }
    policy.awaitEvent("onProxyLeft 3");
    assertEquals(List.of(), policy.events);
  }

  /** A stream may be silent between messages, but not within one. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void incompleteMessageTimesOut(boolean collector) throws Exception {
    example
        .with("\"silent_ms\": 5000", "\"silent_ms\": 50")
        .with("\"stranger_ms\": 2000", "\"stranger_ms\": 300");
    start();
    ProxyClient quiet = joinProxy(5);
    RespClient proxy = collector ? new RespClient(address).startReading() : joinProxy(3);
    if (collector) {
      proxy.send("collector zone north");
    }
    byte[] message =
        TestPeers.encodeLine("usage proxy 5 class lookup tries 5 failed 0 span_ms 1000");
    proxy.send(Arrays.copyOf(message, 30));
    proxy.send(Arrays.copyOfRange(message, 30, message.length));
    if (collector) {
      policy.awaitEvent("onUsageReport 5 0 5");
    }
    proxy.send(Arrays.copyOf(message, 30));
    TestPeers.awaitUntil("its end", () -> proxy.isEnded);
    quiet.send(message);
    policy.awaitEvent("onUsageReport 5 0 5");
    assertFalse(quiet.isEnded);
  }

  /** The command for the proxy that left has no effect. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void streamThatEndsInTheIterationOfACommandIsHarmless(boolean joinsAnew) throws Exception {
    start();
    ProxyClient proxy = joinProxy(3);
    ProxyClient other = joinProxy(5);
    CountDownLatch latch =
        holdDecisions(
            commands -> {
              commands.setWeight(0, 1, 0.5);
              commands.bindProxy(3, 0, 0);
              commands.bindProxy(5, 0, 0);
              commands.requestAck(9, true);
            });
    proxy.reset();
    awaitPendingEvents(1);
    ProxyClient newStream = joinsAnew ? joinProxyWithoutWaiting(3) : null;
    latch.countDown();
    policy.awaitEvent("onProxyLeft 3");
    if (joinsAnew) {
      policy.awaitEvent("onProxyJoined 3");
      newStream.send("applied proxy 3 mark 9 took_ms 0.1");
      awaitLog("acknowledgements dropped: 1 so far, the last of proxy 3");
      assertEquals(0, newStream.received.size(), "what was ordered for the earlier stream");
      assertFalse(newStream.isEnded);
    }
    TestPeers.awaitUntil("the other proxy's table", () -> other.held.ackNumbers.contains(9));
    assertEquals(List.of(), policy.events);
  }

  private ProxyClient joinProxyWithoutWaiting(int number) throws Exception {
    int before = servers.get(0).controller().pendingEvents();
    ProxyClient result = joinProxy(number, new AppliedUpdates(CLASSES), false);
    awaitPendingEvents(before + 1);
    return result;
  }

  // Descriptors.

  /** A check for new connections that finds none must evict nobody. */
  @Test
  void onlyANewConnectionEvictsAnUnidentifiedOne() throws Exception {
    example
        .with("\"sockets\": 1024", "\"sockets\": 128")
        .with("\"stranger_ms\": 2000", "\"stranger_ms\": 600000");
    StreamServer streams = start().streams();
    List<RespClient> unidentified = new ArrayList<>();
    unidentified.add(new RespClient(address).startReading());
    // The oldest is the one opened first, and several threads open connections in any order: the
    // first is open before the second is made. Not evicted, it is put back.
    awaitEvictionCandidate(streams).onReplaced();
    for (int k = 1; k < streams.maxConnections(); k++) {
      unidentified.add(new RespClient(address).startReading());
    }
    TestPeers.awaitUntil(
        "all are accepted", () -> streams.connections() == streams.maxConnections());
    RespClient newcomer = new RespClient(address).startReading();
    newcomer.send("ping");
    TestPeers.awaitUntil("its pong", () -> newcomer.received.size() == 1);
    TestPeers.awaitUntil("the oldest connection is evicted", () -> unidentified.get(0).isEnded);
    unidentified.remove(0);
    for (RespClient connection : unidentified) {
      connection.send("ping");
    }
    TestPeers.awaitUntil(
        "all others get their pongs",
        () -> unidentified.stream().allMatch(s -> s.received.size() == 1));
    for (RespClient connection : unidentified) {
      connection.close();
    }
    newcomer.close();
  }

  private static StreamConnection awaitEvictionCandidate(StreamServer streams)
      throws InterruptedException {
    List<StreamConnection> chosen = new ArrayList<>();
    TestPeers.awaitUntil(
        "it is chosen", () -> streams.takeEvictionCandidate().map(chosen::add).orElse(false));
    return chosen.get(0);
  }

  /** A connection is chosen for eviction and joins at the same time: the first of both counts. */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void joinRacesWithAnEviction(boolean joinsFirst) throws Exception {
    StreamServer streams = start().streams();
    policy.awaitEvent("onEndpointList CACHED");
    ProxyClient proxy = new ProxyClient(address, new AppliedUpdates(CLASSES));
    StreamConnection chosen = awaitEvictionCandidate(streams);
    if (!joinsFirst) {
      chosen.evict();
      TestPeers.awaitUntil("its end", () -> proxy.isEnded);
      assertEquals(List.of(), policy.events);
      return;
    }
    proxy.send("joined proxy 3 zone north weight 1 fresh 1");
    policy.awaitEvent("onProxyJoined 3");
    chosen.evict();
    policy.command(commands -> commands.requestAck(7, true));
    TestPeers.awaitUntil("the acknowledgement request", () -> proxy.held.ackNumbers.contains(7));
    assertFalse(proxy.isEnded);
    assertEquals(List.of(), policy.events);
  }
}
