package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pearusher.policy.FaastPolicy;

/** Restart of an assigner without a store. */
class RestartTest extends LoopbackFixture {
  /** Id of the server that starts again after the restart of the assigner. */
  private static final String RETURNING = "s-0badcafe";

  /** Drain grace period of the example configuration. */
  private static final long DRAIN_GRACE_US = 3_000_000;

  /**
   * A server drains, the assigner stops, its successor starts with an older list or none, and the
   * server returns. The rejoining proxy must end up with exactly the table of the new assigner.
   */
  @ParameterizedTest
  @ValueSource(strings = {"old", "empty"})
  void restartedAssignerReplacesTheTablesOfItsPredecessor(String initialList) throws Exception {
    example.with("\"reportEveryUs\": 1000000", "\"reportEveryUs\": 100000");
    AppliedUpdates applied = new AppliedUpdates(CLASSES);
    runUntilServerIsEjected(applied);
    if (initialList.equals("empty")) {
      example.with("\"known\"", "\"unknown\"");
    }
    start(FaastPolicy::new);
    StubRequest watch = discovery.awaitRequest();
    assertEquals(
        "/catalog/members?follow=1&since=" + (initialList.equals("empty") ? 0 : 41), watch.path());
    watch.startWatch();
    watch.writeLine(
        TestPeers.endpointListJson(
            50,
            true,
            returningServer("in_service", 0),
            TestPeers.endpointJson("s-5be2a07c", "127.0.0.1:8", "north", "in_service", 0)));
    int before = applied.updateCount;
    ProxyClient rejoined = joinProxy(3, applied, false);
    TestPeers.awaitUntil("an update of the new assigner", () -> applied.updateCount > before);
    awaitUsable(applied, List.of("s-5be2a07c", RETURNING));
    assertEquals(List.of(), applied.faults);
    assertEquals("[]", applied.ejectedServers.toString());
    rejoined.close();
  }

  /**
   * A server drains, is no longer listed when the assigner restarts, and starts again under its id.
   * Guards against a proxy that excludes the server permanently, because the new process takes a
   * server that started after it for one that no other process has ejected. A proxy that joins late
   * counts as confirmed.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void serverThatReturnsAfterARestartIsReinstated(boolean isJoinLate) throws Exception {
    example.with("\"reportEveryUs\": 1000000", "\"reportEveryUs\": 100000");
    AppliedUpdates applied = new AppliedUpdates(CLASSES);
    runUntilServerIsEjected(applied);
    example.with(RETURNING, "s-00000001");
    start(FaastPolicy::new);
    long startedMs = System.currentTimeMillis();
    StubRequest watch = discovery.awaitRequest();
    watch.startWatch();
    if (isJoinLate) {
      clockOffsetUs.set(2 * DRAIN_GRACE_US);
    }
    ProxyClient rejoined = joinProxy(3, applied, false);
    awaitUsable(applied, List.of("s-00000001"));
    watch.writeLine(
        TestPeers.endpointListJson(44, false, returningServer("in_service", startedMs + 1)));
    awaitUsable(applied, List.of(RETURNING));
    assertEquals(List.of(), applied.faults);
    assertEquals("[]", applied.ejectedServers.toString());
    rejoined.close();
  }

  /** Runs an assigner until its only proxy excludes a draining server, and stops it. */
  private void runUntilServerIsEjected(AppliedUpdates applied) throws Exception {
    AssignerServer first = start(FaastPolicy::new);
    StubRequest watch = discovery.awaitRequest();
    watch.startWatch();
    watch.writeLine(TestPeers.endpointListJson(41, false));
    ProxyClient stream = joinProxy(3, applied, true);
    awaitUsable(applied, List.of("s-5be2a07c", RETURNING));
    watch.writeLine(TestPeers.endpointListJson(42, false, returningServer("terminating", 0)));
    TestPeers.awaitUntil(
        "the ejection of the draining server", () -> applied.ejectedServers.contains(RETURNING));
    first.stop();
    servers.clear();
    TestPeers.awaitUntil("the end of the stream", () -> stream.isEnded);
  }

  private static String returningServer(String lifecycle, long startedAtMs) {
    return TestPeers.endpointJson(RETURNING, "127.0.0.1:9", "south", lifecycle, startedAtMs);
  }

  private static void awaitUsable(AppliedUpdates applied, List<String> names)
      throws InterruptedException {
    TestPeers.awaitUntil(
        "a table with usable " + names,
        () -> applied.usableWeights("order").keySet().containsAll(names));
  }
}
