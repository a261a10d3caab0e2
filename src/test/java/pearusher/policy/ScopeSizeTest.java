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

/** State of an instance, in objects, as a function of the scope, and instances of large size. */
class ScopeSizeTest {
  /** Objects of a server that no table lists: itself, its empty statistics and its map entry. */
  private static final double OBJECTS_PER_SERVER = 3;

  /**
   * Objects of a server for each zone in scope: a planned and a published weight, two statistics
   * and their entries.
   */
  private static final double OBJECTS_PER_SERVER_AND_ZONE = 7;

  /** Tolerance in objects for pending changes: a delay, an ejection, statistics that expire. */
  private static final double TOLERANCE = 1;

  /** Objects of three tables of maximal size, with proxies, acknowledgements and statistics. */
  private static final long OBJECTS_OF_THREE_TABLES = 16_500;

  /**
   * Returns a harness whose policy has run for some control periods, with two proxies for each zone
   * that has proxies.
   */
  private static ProxyTierHarness runningHarness(
      int zones, int servers, int zonesWithProxies, double linesPerSecond) {
    PolicySettings settings =
        new PolicySettingsBuilder()
            .idempotentRequestsOnly()
            .zones(zones)
            .crossZoneCost(0.08)
            .linesPerSecond(linesPerSecond)
            .maxBacklogLines(1.5 * linesPerSecond)
            .build();
    ProxyTierHarness harness = new ProxyTierHarness(settings, linesPerSecond);
    harness.invariant = harness::assertBacklogAndTables;
    harness.fixture.attemptsPerZone = 20.0 * servers;
    harness.start(TestServers.readyServers(servers, zones), zonesWithProxies, 2);
    harness.runUntil("all bound", 20, harness::areAllBound);
    for (int k = 0; k < 10; k++) {
      long round = k;
      TestServers.readyServers(servers, zones).stream()
          .map(ServerEntry::server)
          .forEach(id -> harness.fixture.latencyMs.put(id, 100 + 37.0 * ((id + round) % 5)));
      harness.runSeconds(1);
      reportFromAllZones(harness, zones);
    }
    return harness.runSeconds(2);
  }

  /** Delivers load reports of some servers from proxies of every zone, as a collector does. */
  private static void reportFromAllZones(ProxyTierHarness harness, int zones) {
    for (int zone = 0; zone < zones; zone++) {
      for (long id = 1; id <= 20; id++) {
        harness.fixture.reportLoad(id, zone, 5, 0, PolicyFixture.SECOND_US, 200_000);
      }
    }
  }

  private static long objectsOf(ProxyTierHarness harness) {
    return ObjectCount.of(harness.fixture.policy);
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
        "slopes "
            + Arrays.toString(slopes)
            + " are not all within "
            + minSlope
            + " to "
            + maxSlope);
  }

  @Test
  void stateDoesNotGrowWithTheZonesThatExist() {
    assertSlopes(
        -10,
        1,
        slopes(
            new int[] {4, 10, 25, 50, 98},
            zones -> objectsOf(runningHarness(zones, 100, 3, 3000))));
  }

  @Test
  void stateGrowsWithServersByAConstantEach() {
    assertSlopes(
        3 * OBJECTS_PER_SERVER_AND_ZONE,
        3 * (OBJECTS_PER_SERVER_AND_ZONE + TOLERANCE) + OBJECTS_PER_SERVER + TOLERANCE,
        slopes(
            new int[] {50, 100, 150, 200, 300},
            servers -> objectsOf(runningHarness(98, servers, 3, 3000))));
  }

  /** A channel of 1,000 lines per second carries tables of about 200 entries. */
  @Test
  void beyondTheTableBoundAServerAddsOnlyItsOwnState() {
    assertSlopes(
        1,
        OBJECTS_PER_SERVER + TOLERANCE,
        slopes(
            new int[] {400, 600, 900, 1300, 2000},
            servers -> objectsOf(runningHarness(98, servers, 3, 1000))));
  }

  @Test
  void stateGrowsWithTheZonesInScope() {
    int servers = 100;
    assertSlopes(
        OBJECTS_PER_SERVER_AND_ZONE * servers,
        (OBJECTS_PER_SERVER_AND_ZONE + TOLERANCE) * servers,
        slopes(
            new int[] {1, 2, 4, 7, 12},
            zonesWithProxies -> objectsOf(runningHarness(98, servers, zonesWithProxies, 3000))));
  }

  /** Checks the count itself. */
  @Test
  void theCountIncludesCollectionsArraysAndOwnObjects() {
    ZoneAttemptStats stats = new ZoneAttemptStats();
    assertEquals(1, ObjectCount.of(stats));
    stats.current(3);
    stats.current(5);
    assertEquals(1 + 3 * 2 + 4, ObjectCount.of(stats), "three arrays of two, and four statistics");
    ZoneTable table = new ZoneTable(2, 1, 1);
    long empty = ObjectCount.of(table);
    table.plannedShares.put(7L, 0.5);
    table.subscribers.add(1);
    assertEquals(empty + 2, ObjectCount.of(table));
  }

  /** Guards against a start at these sizes that fails or never binds a proxy. */
  @ParameterizedTest
  @ValueSource(ints = {2000, 9100})
  void manyServersInManyZonesAreBoundAndWeighted(int servers) {
    PolicySettings settings =
        new PolicySettingsBuilder()
            .idempotentRequestsOnly()
            .zones(98)
            .crossZoneCost(0.08)
            .proxies(50)
            .build();
    ProxyTierHarness harness = new ProxyTierHarness(settings);
    harness.invariant = harness::assertBacklogAndTables;
    harness.fixture.attemptsPerZone = 20_000;
    harness.start(TestServers.readyServers(servers, 98), 3, 16);
    harness.join(48, 0);
    harness.join(49, 1);
    harness.runUntil("all bound", 15, harness::areAllBound);
    harness.runSeconds(10);
    assertEquals(Set.of(0, 1, 2), harness.commands.weightsByTable.keySet());
    long slow =
        harness.listedServers(0).stream().filter(id -> id % 98 == 0).findFirst().orElseThrow();
    long failing =
        harness.listedServers(0).stream().filter(id -> id % 98 == 1).findFirst().orElseThrow();
    double slowBefore = harness.commands.share(0, slow);
    double failingBefore = harness.commands.share(0, failing);
    harness.fixture.latencyMs.put(slow, 1000.0);
    harness.fixture.failureShare.put(failing, 1.0);
    harness.runTicks(100);
    double slowRatio = harness.commands.share(0, slow) / slowBefore;
    double failingRatio = harness.commands.share(0, failing) / failingBefore;
    assertTrue(
        slowRatio < 0.6, "ratio of a slow server's share to its earlier share: " + slowRatio);
    assertTrue(
        failingRatio < 0.2,
        "ratio of a failing server's share to its earlier share: " + failingRatio);
    long maxObjects =
        OBJECTS_OF_THREE_TABLES + (long) ((OBJECTS_PER_SERVER + TOLERANCE / 4) * servers);
    assertTrue(
        objectsOf(harness) <= maxObjects,
        objectsOf(harness) + " objects, at most " + maxObjects + " expected");
  }
}
