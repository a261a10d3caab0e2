package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Set;
import java.util.function.IntToLongFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** State of an instance as a function of what is in scope, counted in objects, and large sizes. */
class ScopeSizeTest {
  /** Of a server that no table lists: itself, its empty statistics and its entry in the list. */
  private static final double OBJECTS_PER_SERVER = 3;

  /** For each zone in scope: a planned and a sent weight, two statistics and their entries. */
  private static final double OBJECTS_PER_SERVER_AND_ZONE = 7;

  /** Tolerance for pending changes: a delay, an ejection, statistics that expire. */
  private static final double TOLERANCE = 1;

  /** Objects of three tables of maximal size, with proxies, acknowledgements and statistics. */
  private static final long OBJECTS_OF_THREE_TABLES = 16_500;

  /** An instance that has run for some periods, with two proxies for each of so many zones. */
  private static ScopeSite site(
      int zones, int servers, int zonesWithProxies, double linesPerSecond) {
    PolicySettings settings =
        new PolicySettingsBuilder()
            .idempotentRequestsOnly()
            .zones(zones)
            .crossZoneCost(0.08)
            .linesPerSecond(linesPerSecond)
            .maxBacklogLines(1.5 * linesPerSecond)
            .build();
    ScopeSite site = new ScopeSite(settings, linesPerSecond);
    site.invariant = site::assertBacklogAndTables;
    site.fixture.attemptsPerZone = 20.0 * servers;
    site.start(TestServers.readyServers(servers, zones), zonesWithProxies, 2);
    site.runUntil("all bound", 20, site::areAllBound);
    for (int k = 0; k < 10; k++) {
      long round = k;
      TestServers.readyServers(servers, zones).stream()
          .map(ServerEntry::server)
          .forEach(id -> site.fixture.latencyMs.put(id, 100 + 37.0 * ((id + round) % 5)));
      site.runSeconds(1);
      reportFromAllZones(site, zones);
    }
    return site.runSeconds(2);
  }

  /** Load reports of some servers from proxies of every zone, as a collector delivers them. */
  private static void reportFromAllZones(ScopeSite site, int zones) {
    for (int zone = 0; zone < zones; zone++) {
      for (long id = 1; id <= 20; id++) {
        site.fixture.reportLoad(id, zone, 5, 0, PolicyFixture.SECOND_US, 200_000);
      }
    }
  }

  private static long objectsOf(ScopeSite site) {
    return ObjectCount.of(site.fixture.policy);
  }

  private static double[] slopes(int[] sizes, IntToLongFunction count) {
    long[] counts = Arrays.stream(sizes).mapToLong(count).toArray();
    return IntStream.range(1, sizes.length)
        .mapToDouble(k -> (counts[k] - counts[k - 1]) / (double) (sizes[k] - sizes[k - 1]))
        .toArray();
  }

  private static void assertSlopes(double minSlope, double maxSlope, double[] slopes) {
    assertTrue(
        Arrays.stream(slopes).allMatch(slope -> slope >= minSlope && slope <= maxSlope),
        Arrays.toString(slopes) + " not within " + minSlope + " to " + maxSlope);
  }

  @Test
  void stateDoesNotGrowWithTheZonesThatExist() {
    assertSlopes(
        -10,
        1,
        slopes(new int[] {4, 10, 25, 50, 98}, zones -> objectsOf(site(zones, 100, 3, 3000))));
  }

  @Test
  void stateGrowsWithServersByAConstantEach() {
    assertSlopes(
        3 * OBJECTS_PER_SERVER_AND_ZONE,
        3 * (OBJECTS_PER_SERVER_AND_ZONE + TOLERANCE) + OBJECTS_PER_SERVER + TOLERANCE,
        slopes(
            new int[] {50, 100, 150, 200, 300}, servers -> objectsOf(site(98, servers, 3, 3000))));
  }

  /** A channel of 1,000 lines a second carries tables of some 200. */
  @Test
  void beyondTheBoundOfTablesAServerCostsItsOwnStateAlone() {
    assertSlopes(
        1,
        OBJECTS_PER_SERVER + TOLERANCE,
        slopes(
            new int[] {400, 600, 900, 1300, 2000},
            servers -> objectsOf(site(98, servers, 3, 1000))));
  }

  @Test
  void stateGrowsWithTheZonesInScope() {
    int servers = 100;
    assertSlopes(
        OBJECTS_PER_SERVER_AND_ZONE * servers,
        (OBJECTS_PER_SERVER_AND_ZONE + TOLERANCE) * servers,
        slopes(
            new int[] {1, 2, 4, 7, 12},
            zonesWithProxies -> objectsOf(site(98, servers, zonesWithProxies, 3000))));
  }

  /** The count itself: what it must see, and what it must not. */
  @Test
  void theCountIncludesCollectionsArraysAndOwnObjects() {
    ZoneAttemptStats stats = new ZoneAttemptStats();
    assertEquals(1, ObjectCount.of(stats));
    stats.current(3);
    stats.current(5);
    assertEquals(1 + 3 * 2 + 4, ObjectCount.of(stats), "three arrays of two, and four tallies");
    ZoneTable table = new ZoneTable(2, 1, 1);
    long empty = ObjectCount.of(table);
    table.plannedShares.put(7L, 0.5);
    table.followers.add(1);
    assertEquals(empty + 2, ObjectCount.of(table));
  }

  /** Guards against a start at this size that fails or never binds a proxy. */
  @ParameterizedTest
  @ValueSource(ints = {2000, 9100})
  void manyServersInManyZonesAreBoundAndWeighted(int servers) {
    PolicySettings set =
        new PolicySettingsBuilder()
            .idempotentRequestsOnly()
            .zones(98)
            .crossZoneCost(0.08)
            .proxies(50)
            .build();
    ScopeSite site = new ScopeSite(set);
    site.invariant = site::assertBacklogAndTables;
    site.fixture.attemptsPerZone = 20_000;
    site.start(TestServers.readyServers(servers, 98), 3, 16);
    site.join(48, 0);
    site.join(49, 1);
    site.runUntil("all bound", 15, site::areAllBound);
    site.runSeconds(10);
    assertEquals(Set.of(0, 1, 2), site.commands.weightsByTable.keySet());
    long slow = site.listedServers(0).stream().filter(id -> id % 98 == 0).findFirst().orElseThrow();
    long failing =
        site.listedServers(0).stream().filter(id -> id % 98 == 1).findFirst().orElseThrow();
    double slowBefore = site.commands.share(0, slow);
    double failingBefore = site.commands.share(0, failing);
    site.fixture.latencyMs.put(slow, 1000.0);
    site.fixture.failureShare.put(failing, 1.0);
    site.runTicks(100);
    double slowRatio = site.commands.share(0, slow) / slowBefore;
    double failingRatio = site.commands.share(0, failing) / failingBefore;
    assertTrue(slowRatio < 0.6, "a slow server keeps " + slowRatio);
    assertTrue(failingRatio < 0.2, "a failing server keeps " + failingRatio);
    long maxObjects =
        OBJECTS_OF_THREE_TABLES + (long) ((OBJECTS_PER_SERVER + TOLERANCE / 4) * servers);
    assertTrue(objectsOf(site) <= maxObjects, objectsOf(site) + " objects of " + maxObjects);
  }
}
