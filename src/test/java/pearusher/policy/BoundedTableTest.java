package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tables bounded by the entries that a bind can carry, and replacement of most servers at once. */
class BoundedTableTest {
  /** Number of entries that a bind can carry in a small fleet. */
  private static final int MAX_ENTRIES = 668;

  private static final long FIRST_NEW_SERVER = 100_000;

  /** Returns the servers 1 to {@code count}, of which three in five are replaced by new ones. */
  private static List<ServerEntry> mostlyNewServers(int count, int zones, long nowUs) {
    List<ServerEntry> list = new ArrayList<>();
    for (int id = 1; id <= count; id++) {
      list.add(
          id % 5 < 2
              ? TestServers.readyServer(id, id % zones, 0)
              : TestServers.readyServer(FIRST_NEW_SERVER + id, id % zones, nowUs));
    }
    return list;
  }

  private static boolean isNew(long server) {
    return server > FIRST_NEW_SERVER;
  }

  /** Asserts that the largest share of a new server is within the bound of its slow start. */
  private static void assertNewServerSharesAreBounded(
      ProxyTierHarness harness, int zone, double rampProgress) {
    Map<Long, Double> weights = harness.commands.weightsByTable.get(zone);
    Set<Long> usable = harness.usableServers(zone);
    double sum = usable.stream().mapToDouble(weights::get).sum();
    double largest =
        usable.stream().filter(BoundedTableTest::isNew).mapToDouble(weights::get).max().orElse(0);
    double maxShare = 3.0 / usable.size() * rampProgress;
    assertTrue(
        largest / sum <= maxShare,
        "share of a new server " + largest / sum + ", at most " + maxShare + " expected");
  }

  /** Guards against tables without servers, or with only servers that have no evidence. */
  @ParameterizedTest
  @CsvSource({"100, 20, 6, 8", "1000, 20, 6, 8", "1000, 20, 30, 140"})
  void aCompleteListOfMostlyNewServersLeavesNoTableWithoutUsableServers(
      int servers, int zones, int proxies, int fleetProxies) {
    ProxyTierHarness harness =
        ProxyTierHarness.started(zones, fleetProxies, servers, 3, proxies / 3).runTicks(200);
    assertTrue(harness.areAllBound());
    Set<Long> removed =
        ProxyTierHarness.servers(1, servers).stream()
            .filter(id -> id % 5 >= 2)
            .collect(Collectors.toCollection(TreeSet::new));
    long nowUs = harness.fixture.nowUs;
    harness.fixture.sendEndpointList(
        ListUpdateKind.COMPLETE, mostlyNewServers(servers, zones, nowUs));
    harness.endBatch();
    if (servers <= 100) {
      assertEquals(
          removed, harness.commands.ejected, "ejected in the same batch, since the ejections fit");
    }
    // Messages that do not fit within the drain grace period are sent at the channel's rate.
    double removalLines =
        harness.zoneByProxy.keySet().stream()
            .mapToLong(
                p -> harness.usableServers(p).stream().filter(removed::contains).count() + 11)
            .sum();
    double limitS =
        Math.max(
            ProxyTierHarness.DRAIN_GRACE_WITH_TOLERANCE_S,
            1.3 * removalLines / ProxyTierHarness.LINES_PER_SECOND + ProxyTierHarness.TRANSIT_S);
    double arrivalS = harness.runUntil("ejected", limitS, () -> !harness.isAnyUsed(removed));
    assertTrue(
        arrivalS <= limitS, "ejections arrive after " + arrivalS + " s, limit " + limitS + " s");
    for (int i = 0; i < 100; i++) {
      double elapsedRamps = (harness.fixture.nowUs - nowUs) / (10.0 * PolicyFixture.SECOND_US);
      double rampProgress = Math.min(1, 0.2 + 0.8 * elapsedRamps);
      for (int zone : List.of(0, 1, 2)) {
        assertNewServerSharesAreBounded(harness, zone, rampProgress);
      }
      harness.runTick();
    }
    harness.runTicks(300);
    assertTrue(
        harness.listedServers(0).stream().anyMatch(BoundedTableTest::isNew),
        "the table lists new servers");
    assertFalse(harness.listedServers(0).stream().anyMatch(removed::contains));
  }

  /** Guards against tables that no bind can carry. */
  @ParameterizedTest
  @CsvSource({
    "1000, 20, 8, 668, 150",
    "1000, 20, 140, 218, 150",
    "3000, 20, 140, 218, 164",
    "3000, 20, 8, 668, 450",
    "9100, 98, 8, 668, 278"
  })
  void aBoundedTableListsOwnZonesFirstAndOthersToo(
      int servers, int zones, int fleetProxies, int maxEntries, int ownZoneEntries) {
    ProxyTierHarness harness = ProxyTierHarness.started(zones, fleetProxies, servers, 3, 10);
    harness.runUntil("all bound", 20, harness::areAllBound);
    harness.runTicks(100);
    for (int zone = 0; zone < 3; zone++) {
      Set<Long> table = harness.listedServers(zone);
      assertEquals(maxEntries, table.size());
      long ownZoneServers = table.stream().filter(id -> id % zones < 3).count();
      assertTrue(
          ownZoneServers >= Math.min(ownZoneEntries, 3 * maxEntries / 4 - 3)
              && ownZoneServers <= ownZoneEntries + maxEntries / 10,
          "servers of the zones in scope: " + ownZoneServers);
      assertTrue(
          table.stream().map(id -> id % zones).distinct().count() > zones / 2,
          "the table lists servers of more than half of the zones");
    }
  }

  /** Guards against equal selections by all assigners: other servers would get no requests. */
  @Test
  void overManyAssignersEachServerIsListedAboutEquallyOften() {
    Map<Long, Integer> listings = new HashMap<>();
    int seedCount = 200;
    Set<Set<Long>> distinctTables = new HashSet<>();
    for (long seed = 1; seed <= seedCount; seed++) {
      ProxyTierHarness harness =
          new ProxyTierHarness(
                  ProxyTierHarness.settings(20, 8).seed(seed * 0x9E3779B97F4A7C15L).build())
              .start(TestServers.readyServers(1000, 20), 3, 1);
      Set<Long> table = harness.listedServers(0);
      assertEquals(MAX_ENTRIES, table.size());
      distinctTables.add(table);
      table.forEach(id -> listings.merge(id, 1, Integer::sum));
    }
    assertEquals(seedCount, distinctTables.size(), "each seed results in a table of its own");
    double even = (MAX_ENTRIES - 150.0) / 850;
    for (long id = 1; id <= 1000; id++) {
      double frequency = listings.getOrDefault(id, 0) / (double) seedCount;
      assertEquals(id % 20 < 3 ? 1 : even, frequency, 0.16, "server " + id);
    }
  }

  /** Guards against a selection that changes completely when one server changes. */
  @Test
  void aServerRemovedFromABoundedTableIsReplacedByTheNext() {
    ProxyTierHarness harness = ProxyTierHarness.started(20, 8, 1000, 3, 2).runTicks(300);
    Set<Long> before = harness.listedServers(0);
    long removed = before.stream().filter(id -> id % 20 >= 3).findFirst().orElseThrow();
    harness.changeLifecycle(Set.of(removed), Lifecycle.REMOVED);
    int[] weightChanges = {0};
    harness.invariant =
        () ->
            weightChanges[0] +=
                (int)
                    harness.lastCommands.stream()
                        .filter(RecordedCommand.SetWeight.class::isInstance)
                        .count();
    harness.runTicks(100);
    Set<Long> after = harness.listedServers(0);
    assertEquals(MAX_ENTRIES, after.size());
    assertEquals(Set.of(removed), ProxyTierHarness.without(before, after));
    assertEquals(1, ProxyTierHarness.without(after, before).size());
    assertTrue(weightChanges[0] <= 3 * 4, "changed weights: " + weightChanges[0]);
  }

  /**
   * Regression: while many servers were replaced, new weights were sent before old ones were
   * removed. Tables of 668 entries grew past 1,000, more than a bind can carry, and a new proxy
   * stayed unbound for 6 s.
   */
  @ParameterizedTest
  @CsvSource({"8, 6, 668", "140, 30, 218", "8, 48, 668"})
  void aBoundedTableStaysBoundedWhileManyServersAreReplaced(
      int fleetProxies, int proxies, int maxEntries) {
    ProxyTierHarness harness = ProxyTierHarness.started(20, fleetProxies, 1000, 3, proxies / 3);
    harness.runUntil("all bound", 20, harness::areAllBound);
    harness.runTicks(100);
    harness.fixture.sendEndpointList(
        ListUpdateKind.COMPLETE, mostlyNewServers(1000, 20, harness.fixture.nowUs));
    Map<Integer, Integer> longestTables = new TreeMap<>();
    harness.invariant =
        () ->
            harness.commands.weightsByTable.forEach(
                (zone, weights) -> longestTables.merge(zone, weights.size(), Math::max));
    harness.runTicks(400);
    longestTables.forEach(
        (zone, size) ->
            assertTrue(
                size <= maxEntries,
                "table of zone " + zone + " has " + size + " entries of at most " + maxEntries));
  }

  /**
   * Regression: while many servers were replaced, tables grew beyond what a bind can carry, and a
   * proxy that joined without a table stayed unbound.
   */
  @ParameterizedTest
  @ValueSource(ints = {130, 180})
  void aNewProxyIsBoundWhileManyServersAreReplaced(int ticks) {
    ProxyTierHarness harness = ProxyTierHarness.started(20, 8, 1000, 3, 16);
    harness.runUntil("all bound", 20, harness::areAllBound);
    harness.runTicks(100);
    harness.fixture.sendEndpointList(
        ListUpdateKind.COMPLETE, mostlyNewServers(1000, 20, harness.fixture.nowUs));
    harness.runTicks(ticks);
    harness.join(500, 0);
    harness.endBatch();
    double maxUnboundS = harness.fixture.settings.limits().maxUnboundUs() / 1e6;
    harness.runUntil("bound", maxUnboundS, harness::areAllBound);
  }
}
