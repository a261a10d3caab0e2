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

/** Tables are bounded by what a bind can carry; most servers are replaced at once. */
class BoundedTableTest {
  /** Entries that a bind may carry in a small fleet. */
  private static final int MAX_ENTRIES = 668;

  private static final long FIRST_NEW_SERVER = 100_000;

  /** Servers 1 to {@code count}, of which three in five are replaced by new ones. */
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

  /** The largest share of a new server is within its bound on the ramp. */
  private static void assertNewServersAreCold(ScopeSite site, int zone, double rampProgress) {
    Map<Long, Double> weights = site.commands.weightsByTable.get(zone);
    Set<Long> usable = site.usableServers(zone);
    double sum = usable.stream().mapToDouble(weights::get).sum();
    double largest =
        usable.stream().filter(BoundedTableTest::isNew).mapToDouble(weights::get).max().orElse(0);
    double maxShare = 3.0 / usable.size() * rampProgress;
    assertTrue(
        largest / sum <= maxShare, "share of a new server " + largest / sum + " of " + maxShare);
  }

  /** Guards against tables that lose their servers, or hold only servers without evidence. */
  @ParameterizedTest
  @CsvSource({"100, 20, 6, 8", "1000, 20, 6, 8", "1000, 20, 30, 140"})
  void aCompleteListOfMostlyNewServersLeavesNoTableWithoutUsableServers(
      int servers, int zones, int proxies, int fleetProxies) {
    ScopeSite site = ScopeSite.started(zones, fleetProxies, servers, 3, proxies / 3).runTicks(200);
    assertTrue(site.areAllBound());
    Set<Long> removed =
        ScopeSite.servers(1, servers).stream()
            .filter(id -> id % 5 >= 2)
            .collect(Collectors.toCollection(TreeSet::new));
    long nowUs = site.fixture.nowUs;
    site.fixture.sendEndpointList(ListUpdateKind.COMPLETE, mostlyNewServers(servers, zones, nowUs));
    site.endBatch();
    if (servers <= 100) {
      assertEquals(removed, site.commands.ejected, "in the same batch, where the backlog has room");
    }
    // What the channel can't carry within the grace is sent at its rate.
    double heldLines =
        site.zoneByProxy.keySet().stream()
            .mapToLong(p -> site.usableServers(p).stream().filter(removed::contains).count() + 11)
            .sum();
    double limitS =
        Math.max(
            ScopeSite.GRACE_S, 1.3 * heldLines / ScopeSite.LINES_PER_SECOND + ScopeSite.TRANSIT_S);
    double arrivalS = site.runUntil("ejected", limitS, () -> !site.isAnyUsed(removed));
    assertTrue(arrivalS <= limitS, "ejections arrive after " + arrivalS + " of " + limitS);
    for (int i = 0; i < 100; i++) {
      double age = (site.fixture.nowUs - nowUs) / (10.0 * PolicyFixture.SECOND_US);
      double rampProgress = Math.min(1, 0.2 + 0.8 * age);
      for (int zone : List.of(0, 1, 2)) {
        assertNewServersAreCold(site, zone, rampProgress);
      }
      site.runTick();
    }
    site.runTicks(300);
    assertTrue(
        site.listedServers(0).stream().anyMatch(BoundedTableTest::isNew),
        "and the new ones are used");
    assertFalse(site.listedServers(0).stream().anyMatch(removed::contains));
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
    ScopeSite site = ScopeSite.started(zones, fleetProxies, servers, 3, 10);
    site.runUntil("all bound", 20, site::areAllBound);
    site.runTicks(100);
    for (int zone = 0; zone < 3; zone++) {
      Set<Long> table = site.listedServers(zone);
      assertEquals(maxEntries, table.size());
      long ownZoneServers = table.stream().filter(id -> id % zones < 3).count();
      assertTrue(
          ownZoneServers >= Math.min(ownZoneEntries, 3 * maxEntries / 4 - 3)
              && ownZoneServers <= ownZoneEntries + maxEntries / 10,
          "own: " + ownZoneServers);
      assertTrue(
          table.stream().map(id -> id % zones).distinct().count() > zones / 2, "of many zones");
    }
  }

  /** Guards against equal choices of all assigners, which leave other servers without requests. */
  @Test
  void overManyAssignersEachServerIsListedAboutEquallyOften() {
    Map<Long, Integer> listings = new HashMap<>();
    int seedCount = 200;
    Set<Set<Long>> distinctTables = new HashSet<>();
    for (long seed = 1; seed <= seedCount; seed++) {
      ScopeSite site =
          new ScopeSite(ScopeSite.settings(20, 8).seed(seed * 0x9E3779B97F4A7C15L).build())
              .start(TestServers.readyServers(1000, 20), 3, 1);
      Set<Long> table = site.listedServers(0);
      assertEquals(MAX_ENTRIES, table.size());
      distinctTables.add(table);
      table.forEach(id -> listings.merge(id, 1, Integer::sum));
    }
    assertEquals(seedCount, distinctTables.size(), "each seed draws its own");
    double even = (MAX_ENTRIES - 150.0) / 850;
    for (long id = 1; id <= 1000; id++) {
      double frequency = listings.getOrDefault(id, 0) / (double) seedCount;
      assertEquals(id % 20 < 3 ? 1 : even, frequency, 0.16, "server " + id);
    }
  }

  /** Guards against a choice that changes completely with one server. */
  @Test
  void aServerRemovedFromABoundedTableIsReplacedByTheNext() {
    ScopeSite site = ScopeSite.started(20, 8, 1000, 3, 2).runTicks(300);
    Set<Long> before = site.listedServers(0);
    long removed = before.stream().filter(id -> id % 20 >= 3).findFirst().orElseThrow();
    site.changeLifecycle(Set.of(removed), Lifecycle.REMOVED);
    int[] weightChanges = {0};
    site.invariant =
        () ->
            weightChanges[0] +=
                (int)
                    site.lastCommands.stream()
                        .filter(RecordedCommand.SetWeight.class::isInstance)
                        .count();
    site.runTicks(100);
    Set<Long> after = site.listedServers(0);
    assertEquals(MAX_ENTRIES, after.size());
    assertEquals(Set.of(removed), ScopeSite.without(before, after));
    assertEquals(1, ScopeSite.without(after, before).size());
    assertTrue(weightChanges[0] <= 3 * 4, "weights changed: " + weightChanges[0]);
  }

  /**
   * Regression: while many servers were replaced, new weights were sent before old ones ended;
   * tables of 668 entries grew past 1,000, more than a bind can carry, and a new proxy stayed
   * unbound for six seconds.
   */
  @ParameterizedTest
  @CsvSource({"8, 6, 668", "140, 30, 218", "8, 48, 668"})
  void aBoundedTableStaysBoundedWhileManyServersAreReplaced(
      int fleetProxies, int proxies, int maxEntries) {
    ScopeSite site = ScopeSite.started(20, fleetProxies, 1000, 3, proxies / 3);
    site.runUntil("all bound", 20, site::areAllBound);
    site.runTicks(100);
    site.fixture.sendEndpointList(
        ListUpdateKind.COMPLETE, mostlyNewServers(1000, 20, site.fixture.nowUs));
    Map<Integer, Integer> longestTables = new TreeMap<>();
    site.invariant =
        () ->
            site.commands.weightsByTable.forEach(
                (zone, weights) -> longestTables.merge(zone, weights.size(), Math::max));
    site.runTicks(400);
    longestTables.forEach(
        (zone, size) -> assertTrue(size <= maxEntries, "a table of " + size + " of " + maxEntries));
  }

  /** The same for a proxy that holds no table and joins meanwhile. */
  @ParameterizedTest
  @ValueSource(ints = {130, 180})
  void aNewProxyIsBoundWhileManyServersAreReplaced(int ticks) {
    ScopeSite site = ScopeSite.started(20, 8, 1000, 3, 16);
    site.runUntil("all bound", 20, site::areAllBound);
    site.runTicks(100);
    site.fixture.sendEndpointList(
        ListUpdateKind.COMPLETE, mostlyNewServers(1000, 20, site.fixture.nowUs));
    site.runTicks(ticks);
    site.join(500, 0);
    site.endBatch();
    double maxUnboundS = site.fixture.settings.limits().maxUnboundUs() / 1e6;
    site.runUntil("bound", maxUnboundS, site::areAllBound);
  }
}
