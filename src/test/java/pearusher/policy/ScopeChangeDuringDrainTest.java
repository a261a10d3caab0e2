package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Drains while zones and servers enter and leave the scope. */
class ScopeChangeDuringDrainTest {
  /** Guards against ejections that are sent by table while that table is being released. */
  @ParameterizedTest
  @CsvSource({
    "595, 0", "598, 1", "600, 0", "600, 5", "601, 1", "602, 0", "605, 3", "609, 2", "612, 0"
  })
  void aDrainWhileAZoneIsReleasedReachesAProxyThatReturnsWithItsTable(
      int drainTick, int laterTicks) {
    ProxyTierHarness harness = ProxyTierHarness.started(3, 8, 12, 3, 2).runTicks(50);
    Set<Long> table = harness.listedServers(2);
    harness.leaveZone(2);
    harness.runTicks(drainTick);
    harness.changeLifecycle(Set.of(5L), Lifecycle.DRAINING);
    harness.endBatch();
    assertTrue(harness.commands.ejected.contains(5L), "ejected in the same batch");
    harness.runTicks(laterTicks);
    harness.joinWithTable(20, 2, table);
    harness.endBatch();
    double arrivalS =
        harness.runUntil("no draining server is used", 2, () -> !harness.isAnyUsed(Set.of(5L)));
    assertTrue(
        arrivalS <= ProxyTierHarness.DRAIN_GRACE_WITH_TOLERANCE_S,
        "ejection arrives after " + arrivalS + " s");
    harness.runTicks(100);
    assertEquals(ProxyTierHarness.without(table, Set.of(5L)), harness.usableServers(20));
  }

  /** Returns a harness with bounded tables, where a new zone displaces servers of the old one. */
  private static ProxyTierHarness harnessWithDisplacedServers(int drainTick, Set<Long> draining) {
    ProxyTierHarness harness = ProxyTierHarness.started(4, 140, 800, 1, 30).runTicks(150);
    assertTrue(harness.areAllBound());
    for (int proxy = 100; proxy < 105; proxy++) {
      harness.join(proxy, 1);
    }
    harness.runTicks(drainTick);
    harness.changeLifecycle(draining, Lifecycle.DRAINING);
    harness.endBatch();
    return harness;
  }

  /**
   * Guards against counting a server out of scope as unused while tables of proxies still list it.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 2, 5, 9, 13, 20})
  void aDrainOfAServerDisplacedFromABoundedTableReachesAllProxiesThatUseIt(int drainTick) {
    ProxyTierHarness harnessWithoutDrain = harnessWithDisplacedServers(0, Set.of());
    Set<Long> before = harnessWithoutDrain.listedServers(0);
    Set<Long> displaced =
        ProxyTierHarness.without(before, harnessWithoutDrain.runTicks(150).listedServers(0));
    assertTrue(displaced.size() > 30, "30 or fewer displaced servers: " + displaced);
    Set<Long> draining = displaced.stream().limit(20).collect(Collectors.toSet());
    ProxyTierHarness harness = harnessWithDisplacedServers(drainTick, draining);
    double arrivalS =
        harness.runUntil("no draining server is used", 2, () -> !harness.isAnyUsed(draining));
    assertTrue(
        arrivalS <= ProxyTierHarness.DRAIN_GRACE_WITH_TOLERANCE_S,
        "ejections arrive after " + arrivalS + " s");
    harness.runTicks(150);
    assertFalse(
        harness.listedServers(0).stream().anyMatch(draining::contains),
        "the table lists no draining server");
  }

  /** Guards against counting a proxy as a subscriber of a table that it is not yet bound to. */
  @ParameterizedTest
  @ValueSource(ints = {-3, 0, 1, 4, 8})
  void aDrainReachesProxiesOfANewZoneThatStillUseOldTables(int drainTick) {
    ProxyTierHarness harness = ProxyTierHarness.started(4, 60, 100, 2, 10).runTicks(80);
    Set<Long> draining = ProxyTierHarness.servers(1, 20);
    for (int i = -3; i <= 8; i++) {
      if (i == 0) {
        for (int proxy = 100; proxy < 140; proxy++) {
          harness.joinWithTable(proxy, 3, ProxyTierHarness.servers(1, 100));
        }
      }
      harness.changeLifecycle(i == drainTick ? draining : Set.of(), Lifecycle.DRAINING);
      harness.endBatch();
      double transitS =
          harness.isAnyUsed(draining)
              ? harness.channel.backlogLines() / ProxyTierHarness.LINES_PER_SECOND
                  + ProxyTierHarness.TRANSIT_S
              : 0;
      int drainedSinceTick = Math.max(0, drainTick);
      assertTrue(
          i < drainedSinceTick
              || (i - drainedSinceTick) / 10.0 + transitS
                  <= ProxyTierHarness.DRAIN_GRACE_WITH_TOLERANCE_S,
          "a draining server is used after the drain grace period, tick " + i);
      harness.runTick();
    }
    harness.runUntil("no draining server is used", 1, () -> !harness.isAnyUsed(draining));
    harness.runUntil("all bound", 10, harness::areAllBound);
  }

  /**
   * Regression: when a server returned unchanged from a drain but had been out of scope since the
   * last control period, its weights were removed without being counted. The backlog reached 6,240
   * lines where 4,500 are allowed.
   */
  @ParameterizedTest
  @ValueSource(ints = {8, 12, 16, 18, 20, 22})
  void theBacklogStaysWithinItsLimitAfterACancelledDrain(int laterTicks) {
    ProxyTierHarness harness = ProxyTierHarness.started(2, 8, 160, 2, 30).runTicks(80);
    harness.changeLifecycle(ProxyTierHarness.servers(1, 80), Lifecycle.DRAINING);
    harness.runTicks(laterTicks);
    harness.changeLifecycle(ProxyTierHarness.servers(1, 80), Lifecycle.READY);
    harness.changeLifecycle(Set.of(100L), Lifecycle.DRAINING);
    harness.runTicks(400);
    assertEquals(
        ProxyTierHarness.without(ProxyTierHarness.servers(1, 160), Set.of(100L)),
        harness.usableServers(0),
        "all but the server that still drains are reinstated");
  }
}
