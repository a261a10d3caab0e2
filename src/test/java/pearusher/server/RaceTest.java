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
 * The instants in which something is still owed: two events meet, in the order that the test
 * forces. The decision thread is held in a turn, a stand-in holds bytes back or resets, and each
 * order is tested.
 */
class RaceTest extends LoopbackFixture {
  private static final String OLD =
      TestPeers.listing(
          30, true, TestPeers.instance("s-5be2a07c", "127.0.0.1:9", "north", "in_service", 0));

  /**
   * Holds the decision thread in a turn, which goes on with these orders once the latch is down.
   */
  private CountDownLatch hold(Consumer<PolicyCommands> then) throws Exception {
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch may = new CountDownLatch(1);
    module.order(
        o -> {
          held.countDown();
          try {
            may.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          then.accept(o);
        });
    held.await();
    return may;
  }

  private void waiting(int events) throws InterruptedException {
    TestPeers.until(
        events + " events wait", () -> running.get(0).controller().pendingEvents() >= events);
  }

  // Discovery.

  /**
   * The last words and the end of a watch that is moved are handed over while the new one begins:
   * they are the old discovery's, and must neither change the list nor fail the new watch.
   */
  @ParameterizedTest
  @ValueSource(strings = {"line", "end"})
  void whatAMovedWatchStillSaysCountsForNothing(String what) throws Exception {
    TestPeers.Request old = watch();
    module.hear("onEndpointList CACHED");
    old.beginWatch();
    CountDownLatch may = hold(o -> o.watchEndpoints(true));
    if (what.equals("line")) {
      old.line(
          TestPeers.listing(
              50, true, TestPeers.instance("s-old", "127.0.0.1:9", "north", "in_service", 0)));
    } else {
      old.reset();
    }
    waiting(1);
    may.countDown();
    TestPeers.Request next = discovery.next();
    assertEquals("/catalog/members?follow=1&since=41", next.path());
    next.beginWatch();
    next.line(TestPeers.listing(42, false));
    TestPeers.until("the new one's line", () -> module.told.contains("onEndpointList DELTA []"));
    assertEquals(List.of("onEndpointList DELTA []"), module.told);
  }

  /** The other order: what came before the move counts, and the new watch goes on from there. */
  @Test
  void whatAWatchSaidBeforeItMovedCounts() throws Exception {
    TestPeers.Request old = watch();
    module.hear("onEndpointList CACHED");
    old.beginWatch();
    old.line(TestPeers.listing(43, false));
    module.hear("onEndpointList DELTA []");
    module.order(o -> o.watchEndpoints(true));
    assertEquals("/catalog/members?follow=1&since=43", discovery.next().path());
    assertEquals(List.of(), module.told);
  }

  /** A watch that brings a byte now and then is never idle, and would never tell anything again. */
  @Test
  void aWatchThatTricklesIsSilent() throws Exception {
    example.with("\"silent_ms\": 5000", "\"silent_ms\": 300");
    TestPeers.Request watch = watch();
    module.hear("onEndpointList CACHED");
    watch.beginWatch();
    watch.line(TestPeers.listing(42, false));
    module.hear("onEndpointList DELTA []");
    watch.write("100000\r\n");
    TestPeers.until(
        "the loss",
        () -> {
          try {
            watch.write(" ");
          } catch (IOException closed) {
            return true;
          }
          return module.told.contains("onEndpointList FAILED []");
        });
    module.hear("onEndpointList FAILED []");
    logged("WARN discovery lost: WATCH ended: TIMED_OUT");
  }

  /** A line that breaks off is no line; what stood whole before it counts. */
  @Test
  void aLineThatBreaksOffIsNone() throws Exception {
    TestPeers.Request watch = watch();
    module.hear("onEndpointList CACHED");
    watch.beginWatch();
    String whole = TestPeers.listing(43, false) + "\n" + TestPeers.listing(44, true);
    watch.write(Integer.toHexString(whole.length() + 1) + "\r\n" + whole);
    watch.reset();
    module.hear("onEndpointList DELTA []");
    module.hear("onEndpointList FAILED []");
    assertEquals(List.of(), module.told);
  }

  /**
   * A discovery that lags begins a new watch with a whole list that is older than the one held:
   * servers that drained since would be let in again. Only one that says nothing newer for long has
   * started anew.
   */
  @Test
  void anOlderWholeListIsPassedOverUntilNothingNewerComesForLong() throws Exception {
    example.with("\"askWithinUs\": 10000000", "\"askWithinUs\": 400000");
    TestPeers.Request watch = watch();
    module.hear("onEndpointList CACHED");
    long first = System.nanoTime();
    int asked = 0;
    while (module.told.stream().noneMatch(t -> t.startsWith("onEndpointList COMPLETE"))) {
      watch.beginWatch();
      watch.line(OLD);
      TestPeers.until("an answer", () -> !module.told.isEmpty());
      if (module.told.remove("onEndpointList FAILED []")) {
        asked++;
        module.order(o -> o.watchEndpoints(true));
        watch = discovery.next();
        assertEquals(
            "/catalog/members?follow=1&since=41", watch.path(), "the last good list stays");
      }
    }
    assertTrue(asked > 0 && System.nanoTime() - first >= 400_000_000L, asked + " older lists");
    logged("WARN discovery lagging: generation 30 after 41, ignored");
    logged("WARN discovery restarted: generation 30 after 41");
    assertEquals(
        1,
        log.toString(StandardCharsets.UTF_8)
            .lines()
            .filter(l -> l.contains("discovery lagging"))
            .count());
  }

  /** A fetch that was answered before what the watch has told since must not undo it. */
  @Test
  void aFetchOlderThanWhatTheWatchToldCountsForNothing() throws Exception {
    TestPeers.Request watch = watch();
    module.hear("onEndpointList CACHED");
    module.order(PolicyCommands::fetchEndpoints);
    TestPeers.Request fetch = discovery.next();
    watch.beginWatch();
    watch.line(
        TestPeers.listing(
            43, false, TestPeers.instance("s-0badcafe", "127.0.0.1:9", "south", "terminating", 0)));
    module.hear("onEndpointList DELTA [ServerEntry[server=1");
    fetch.answer(
        200,
        TestPeers.listing(
            42, true, TestPeers.instance("s-0badcafe", "127.0.0.1:9", "south", "in_service", 0)));
    TestPeers.until("the fetch", () -> !module.told.isEmpty());
    assertEquals(List.of("onEndpointList DELTA []"), module.told);
  }

  /** A body shorter than it said is a failure, not a list. */
  @Test
  void aListShorterThanItSaidFails() throws Exception {
    start();
    module.hear("onEndpointList CACHED");
    module.order(PolicyCommands::fetchEndpoints);
    TestPeers.Request call = discovery.next();
    String body = TestPeers.listing(45, true);
    call.write("HTTP/1.1 200 OK\r\nContent-Length: " + (body.length() + 1) + "\r\n\r\n" + body);
    call.socket().close();
    module.hear("onEndpointList FAILED []");
    assertEquals(List.of(), module.told);
  }

  // Probes.

  /**
   * An answer behind its time-out counts for nothing, and its connection is closed by who gave it
   * up.
   */
  @Test
  void anAnswerBehindItsTimeOutCountsForNothing() throws Exception {
    example
        .with("\"answer_ms\": 3000", "\"answer_ms\": 200")
        .with("\"connect_ms\": 1000", "\"connect_ms\": 100");
    try (TestPeers.HttpStub task = new TestPeers.HttpStub()) {
      example.with("127.0.0.1:9001", task.address());
      start();
      module.hear("onEndpointList CACHED");
      module.order(o -> o.checkHealth(0));
      TestPeers.Request call = task.next();
      module.hear("onHealthCheckResult 0 TIMED_OUT");
      try {
        call.answer(200, "TEXT util=0.61");
      } catch (IOException closed) {
        assertNotNull(closed.getMessage());
      }
      TestPeers.until(
          "its end",
          () -> {
            try {
              return call.socket().getInputStream().read() < 0;
            } catch (IOException reset) {
              return true;
            }
          });
      assertEquals(List.of(), module.told);
    }
  }

  // Streams.

  /**
   * A proxy that is cut off right after it joined dials again, and its first joining may be read
   * after the second: the dead connection must not unseat the good one, whenever its end is seen.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aJoiningThatIsReadLateDoesNotUnseatTheNewerStream(boolean reset) throws Exception {
    example.with("\"stranger_ms\": 2000", "\"stranger_ms\": 600000");
    start();
    TestPeers.RespClient first = new TestPeers.RespClient(at).reading();
    first.send("ping");
    TestPeers.until("it is taken", () -> first.came.size() == 1);
    TestPeers.ProxyClient second = proxy(3);
    first.send("joined proxy 3 zone north weight 9 fresh 1");
    first.send("usage proxy 3 class lookup tries 5 failed 0 span_ms 1000");
    module.hear("onUsageReport 3 0 5");
    if (reset) {
      first.reset();
    } else {
      first.close();
    }
    module.order(o -> o.requestAck(7, true));
    TestPeers.until("the mark", () -> second.held.tickets.contains(7));
    assertEquals(List.of(), module.told, "neither joined nor left");
    second.close();
    module.hear("onProxyLeft 3");
  }

  /** The last words in the same write as the end, whole ones and a half: the whole ones count. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void wholeMessagesBeforeTheEndCount(boolean reset) throws Exception {
    start();
    TestPeers.ProxyClient one = proxy(3);
    byte[] last = TestPeers.say("usage proxy 3 class lookup tries 5 failed 0 span_ms 1000");
    byte[] both = Arrays.copyOf(last, last.length + 20);
    System.arraycopy(last, 0, both, last.length, 20);
    one.send(both);
    if (reset) {
      // A reset may overtake what the kernel holds: it is sent once the words are read.
      module.hear("onUsageReport 3 0 5");
      one.reset();
    } else {
      one.socket.shutdownOutput();
      module.hear("onUsageReport 3 0 5");
    }
    module.hear("onProxyLeft 3");
    assertEquals(List.of(), module.told);
  }

  /** Quiet is good, but not in the midst of a message: who stops there is gone. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void halfAMessageIsNotWaitedForForEver(boolean collector) throws Exception {
    example
        .with("\"silent_ms\": 5000", "\"silent_ms\": 50")
        .with("\"stranger_ms\": 2000", "\"stranger_ms\": 300");
    start();
    TestPeers.ProxyClient quiet = proxy(5);
    TestPeers.RespClient one = collector ? new TestPeers.RespClient(at).reading() : proxy(3);
    if (collector) {
      one.send("collector zone north");
    }
    byte[] message = TestPeers.say("usage proxy 5 class lookup tries 5 failed 0 span_ms 1000");
    one.send(Arrays.copyOf(message, 30));
    one.send(Arrays.copyOfRange(message, 30, message.length));
    if (collector) {
      module.hear("onUsageReport 5 0 5");
    }
    one.send(Arrays.copyOf(message, 30));
    TestPeers.until("its end", () -> one.ended);
    quiet.send(message);
    module.hear("onUsageReport 5 0 5");
    assertFalse(quiet.ended);
  }

  /**
   * A proxy that leaves in the turn that orders for it: the order goes nowhere and breaks nothing.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void anEndInTheTurnOfAnOrderBreaksNothing(boolean joinsAnew) throws Exception {
    start();
    TestPeers.ProxyClient one = proxy(3);
    TestPeers.ProxyClient other = proxy(5);
    CountDownLatch may =
        hold(
            o -> {
              o.setWeight(0, 1, 0.5);
              o.bindProxy(3, 0, 0);
              o.bindProxy(5, 0, 0);
              o.requestAck(9, true);
            });
    one.reset();
    waiting(1);
    TestPeers.ProxyClient anew = joinsAnew ? proxyLater(3) : null;
    may.countDown();
    module.hear("onProxyLeft 3");
    if (joinsAnew) {
      module.hear("onProxyJoined 3");
      anew.send("applied proxy 3 mark 9 took_ms 0.1");
      logged("acknowledgements dropped: 1 so far, the last of proxy 3");
      assertEquals(0, anew.came.size(), "what was ordered for the earlier stream");
      assertFalse(anew.ended);
    }
    TestPeers.until("the others' table", () -> other.held.tickets.contains(9));
    assertEquals(List.of(), module.told);
  }

  private TestPeers.ProxyClient proxyLater(int number) throws Exception {
    int before = running.get(0).controller().pendingEvents();
    TestPeers.ProxyClient out = proxy(number, new TestPeers.AppliedUpdates(CLASSES), false);
    waiting(before + 1);
    return out;
  }

  // Descriptors.

  /** A stranger's place goes to a newcomer only: a look at an empty queue must cost nobody his. */
  @Test
  void onlyANewcomerCostsAStrangerItsPlace() throws Exception {
    example
        .with("\"sockets\": 1024", "\"sockets\": 128")
        .with("\"stranger_ms\": 2000", "\"stranger_ms\": 600000");
    StreamServer streams = start().streams();
    List<TestPeers.RespClient> strangers = new ArrayList<>();
    for (int k = 0; k < streams.maxConnections(); k++) {
      strangers.add(new TestPeers.RespClient(at).reading());
    }
    TestPeers.until("all are taken", () -> streams.connections() == streams.maxConnections());
    TestPeers.RespClient newcomer = new TestPeers.RespClient(at).reading();
    newcomer.send("ping");
    TestPeers.until("its pong", () -> newcomer.came.size() == 1);
    TestPeers.until("the longest connected is gone", () -> strangers.get(0).ended);
    strangers.remove(0);
    for (TestPeers.RespClient one : strangers) {
      one.send("ping");
    }
    TestPeers.until(
        "all others have theirs", () -> strangers.stream().allMatch(s -> s.came.size() == 1));
    for (TestPeers.RespClient one : strangers) {
      one.close();
    }
    newcomer.close();
  }

  /**
   * A stranger that is chosen to go and joins in that instant: who is first counts, in either
   * order.
   */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void aJoiningCrossesAnEviction(boolean joinsFirst) throws Exception {
    StreamServer streams = start().streams();
    module.hear("onEndpointList CACHED");
    TestPeers.ProxyClient one =
        new TestPeers.ProxyClient(at, new TestPeers.AppliedUpdates(CLASSES));
    List<StreamConnection> chosen = new ArrayList<>();
    TestPeers.until(
        "it is chosen", () -> streams.takeEvictionCandidate().map(chosen::add).orElse(false));
    if (!joinsFirst) {
      chosen.get(0).evict();
      TestPeers.until("its end", () -> one.ended);
      assertEquals(List.of(), module.told);
      return;
    }
    one.send("joined proxy 3 zone north weight 1 fresh 1");
    module.hear("onProxyJoined 3");
    chosen.get(0).evict();
    module.order(o -> o.requestAck(7, true));
    TestPeers.until("the mark", () -> one.held.tickets.contains(7));
    assertFalse(one.ended);
    assertEquals(List.of(), module.told);
  }
}
