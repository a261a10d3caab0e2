package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.function.IntToLongFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What an instance keeps as a function of what is in scope, counted in objects; and the large
 * sizes.
 */
class ScopeSizeTest {
  /**
   * What a server costs that no table lists: itself, its empty tallies and its place in the list.
   */
  private static final double SERVER = 3;

  /**
   * For each zone in scope: a planned and a sent weight; two tallies, and three places for them.
   */
  private static final double PAIR = 7;

  /** Room for what is under way for each: a wait, a withdrawal, a tally that fades. */
  private static final double MORE = 1;

  /**
   * What three tables of the most lines that a bind carries cost, with proxies, marks and tallies.
   */
  private static final long THREE_TABLES = 16_500;

  /** An instance that has run for some periods, with two proxies for each of so many zones. */
  private static ScopeSite site(int zones, int servers, int zonesHere, double pace) {
    PolicySettings set =
        RecordingCommands.settings(
            AdmissionMode.SHARE,
            List.of(RecordingCommands.grade(Idempotency.IDEMPOTENT, 1)),
            zones,
            0.08,
            0);
    ScopeSite site = new ScopeSite(RecordingCommands.paced(set, pace), pace);
    site.invariant = site::assertRules;
    site.play.triesPerZone = 20.0 * servers;
    site.start(RecordingCommands.servers(servers, zones), zonesHere, 2);
    site.until("all bound", 20, site::allBound);
    for (int k = 0; k < 10; k++) {
      long uneven = k;
      RecordingCommands.servers(servers, zones).stream()
          .map(ServerEntry::server)
          .forEach(id -> site.play.meanMs.put(id, 100 + 37.0 * ((id + uneven) % 5)));
      site.seconds(1);
      hearAll(site, zones);
    }
    return site.seconds(2);
  }

  /** Others' proxies of every zone try some servers, and a collector tells all of it. */
  private static void hearAll(ScopeSite site, int zones) {
    for (int zone = 0; zone < zones; zone++) {
      for (long id = 1; id <= 20; id++) {
        site.play.rules.onLoadReport(
            site.play.now, id, zone, 5, 0, RecordingCommands.S, 200_000, RecordingCommands.NO_LOAD);
      }
    }
  }

  private static long kept(ScopeSite site) {
    return ObjectCount.of(site.play.rules);
  }

  private static double[] slopes(int[] sizes, IntToLongFunction count) {
    long[] counts = Arrays.stream(sizes).mapToLong(count).toArray();
    return IntStream.range(1, sizes.length)
        .mapToDouble(k -> (counts[k] - counts[k - 1]) / (double) (sizes[k] - sizes[k - 1]))
        .toArray();
  }

  private static void assertSlopes(double least, double most, double[] slopes) {
    assertTrue(
        Arrays.stream(slopes).allMatch(slope -> slope >= least && slope <= most),
        Arrays.toString(slopes) + " not within " + least + " to " + most);
  }

  @Test
  void whatIsKeptDoesNotGrowWithTheZonesThatExist() {
    assertSlopes(
        -10, 1, slopes(new int[] {4, 10, 25, 50, 98}, zones -> kept(site(zones, 100, 3, 3000))));
  }

  @Test
  void whatIsKeptGrowsWithServersByAConstantEach() {
    assertSlopes(
        3 * PAIR,
        3 * (PAIR + MORE) + SERVER + MORE,
        slopes(new int[] {50, 100, 150, 200, 300}, servers -> kept(site(98, servers, 3, 3000))));
  }

  /** A channel of 1,000 lines a second carries tables of some 200. */
  @Test
  void beyondTheBoundAServerCostsItselfAlone() {
    assertSlopes(
        1,
        SERVER + MORE,
        slopes(new int[] {400, 600, 900, 1300, 2000}, servers -> kept(site(98, servers, 3, 1000))));
  }

  @Test
  void whatIsKeptGrowsWithTheZonesInScope() {
    int servers = 100;
    assertSlopes(
        PAIR * servers,
        (PAIR + MORE) * servers,
        slopes(new int[] {1, 2, 4, 7, 12}, here -> kept(site(98, servers, here, 3000))));
  }

  /** The count itself: what it must see, and what it must not. */
  @Test
  void theCountSeesCollectionsArraysAndOwnObjects() {
    ZoneAttemptStats tallies = new ZoneAttemptStats();
    assertEquals(1, ObjectCount.of(tallies));
    tallies.current(3);
    tallies.current(5);
    assertEquals(1 + 3 * 2 + 4, ObjectCount.of(tallies), "three arrays of two, and four tallies");
    ZoneTable table = new ZoneTable(2, 1, 1);
    long empty = ObjectCount.of(table);
    table.plannedShares.put(7L, 0.5);
    table.followers.add(1);
    assertEquals(empty + 2, ObjectCount.of(table));
  }

  /** Fault: at this size the text before died at its start, and no proxy was ever bound. */
  @ParameterizedTest
  @ValueSource(ints = {2000, 9100})
  void manyServersInManyZonesStartBindAndSteer(int servers) {
    PolicySettings set =
        RecordingCommands.settings(
            AdmissionMode.SHARE,
            List.of(RecordingCommands.grade(Idempotency.IDEMPOTENT, 1)),
            98,
            0.08,
            0,
            0,
            50);
    ScopeSite site = new ScopeSite(set);
    site.invariant = site::assertRules;
    site.play.triesPerZone = 20_000;
    site.start(RecordingCommands.servers(servers, 98), 3, 16);
    site.join(48, 0);
    site.join(49, 1);
    site.until("all bound", 15, site::allBound);
    site.seconds(10);
    assertEquals(Set.of(0, 1, 2), site.fleet.tables.keySet());
    long slow = site.table(0).stream().filter(id -> id % 98 == 0).findFirst().orElseThrow();
    long failing = site.table(0).stream().filter(id -> id % 98 == 1).findFirst().orElseThrow();
    double slowBefore = site.fleet.share(0, slow);
    double failingBefore = site.fleet.share(0, failing);
    site.play.meanMs.put(slow, 1000.0);
    site.play.fails.put(failing, 1.0);
    site.ticks(100);
    double slowPart = site.fleet.share(0, slow) / slowBefore;
    double failingPart = site.fleet.share(0, failing) / failingBefore;
    assertTrue(slowPart < 0.6, "a slow server keeps " + slowPart);
    assertTrue(failingPart < 0.2, "a failing server keeps " + failingPart);
    long most = THREE_TABLES + (long) ((SERVER + MORE / 4) * servers);
    assertTrue(kept(site) <= most, kept(site) + " objects of " + most);
  }
}
