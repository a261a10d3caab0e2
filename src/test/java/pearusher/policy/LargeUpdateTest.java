package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Updates of which a single line to all receivers exceeds the limit of its priority. */
class LargeUpdateTest {
  private static final double EMPTY_TABLE_LIMIT_S = 3;
  private static final Set<Long> RETURNED_ZONE = Set.of(4L, 8L, 12L, 16L, 20L, 24L, 28L);

  /**
   * Returns a started harness of four zones with 30 servers and 25 proxies each, whose channel
   * carries 2,900 lines a second. One line to the proxies of a table takes 300 lines of the
   * channel, and weights may use 290.
   */
  private static ProxyTierHarness fourZones() {
    return fourZones(25);
  }

  private static ProxyTierHarness fourZones(int proxiesPerZone) {
    PolicySettings settings =
        ProxyTierHarness.settings(4, 4 * proxiesPerZone)
            .linesPerSecond(2900)
            .maxBacklogLines(4350)
            .drainGraceUs(1_500_000)
            .build();
    return started(settings, 2900, 4, proxiesPerZone);
  }

  /**
   * Returns a started harness of a few zones with 400 proxies in all. One line to all of them takes
   * 4,800 lines of the channel, and ejections may use 4,590.
   */
  private static ProxyTierHarness fourHundredProxies(int zones) {
    PolicySettings settings =
        ProxyTierHarness.settings(zones, 400)
            .linesPerSecond(3400)
            .maxBacklogLines(5100)
            .drainGraceUs(3_000_000)
            .build();
    return started(settings, 3400, zones, 400 / zones);
  }

  private static ProxyTierHarness started(
      PolicySettings settings, double linesPerSecond, int zones, int proxiesPerZone) {
    ProxyTierHarness harness = new ProxyTierHarness(settings, linesPerSecond);
    harness.invariant = harness::assertBacklogAndTables;
    harness.start(TestServers.readyServers(30, zones), zones, proxiesPerZone);
    harness.runUntil("all proxies are bound", 30, harness::areAllBound);
    return harness;
  }

  private static boolean canAllUse(ProxyTierHarness harness, Set<Long> servers) {
    return harness.zoneByProxy.keySet().stream()
        .allMatch(proxy -> harness.usableServers(proxy).containsAll(servers));
  }

  /**
   * Guards against proxies that are left without a server while servers are replaced in turn: no
   * successor is ever listed, because the weights of a table never fit for all its proxies.
   */
  @Test
  void serversThatReplaceOthersInTurnAreListedBeforeTheOthersDrain() {
    ProxyTierHarness harness = fourZones();
    for (long step = 1; step <= 40; step++) {
      if (step <= 30) {
        harness.updateEndpoints(
            List.of(TestServers.readyServer(step + 100, (int) (step % 4), harness.fixture.nowUs)));
      }
      harness.runTicks(17);
      if (step > 10) {
        Set<Long> old = Set.of(step - 10);
        harness.changeLifecycle(old, Lifecycle.DRAINING);
        double arrivedS =
            harness.runUntil("a drain is passed on", 1.5, () -> !harness.isAnyUsed(old));
        assertTrue(arrivedS <= 1.8, "the drain of " + old + " arrives after " + arrivedS + " s");
      }
    }
    harness.runUntil(
        "each proxy can use all successors",
        EMPTY_TABLE_LIMIT_S,
        () -> canAllUse(harness, ProxyTierHarness.servers(101, 130)));
  }

  /**
   * Guards against servers of a returned zone that proxies exclude permanently: a reinstatement
   * with its weights never fits for all proxies at once.
   */
  @Test
  void serversOfAReturnedZoneAreReinstatedTableByTable() {
    ProxyTierHarness harness = fourZones();
    removeAndReturnZone(harness);
    harness.runUntil("each proxy can use the zone", 5, () -> canAllUse(harness, RETURNED_ZONE));
  }

  /**
   * Guards against drains that wait for reinstatements at all proxies at once, which would take
   * 2,600 lines at 50 proxies a zone.
   */
  @ParameterizedTest
  @ValueSource(ints = {25, 37, 45, 49, 50})
  void aDrainDuringTheReturnOfAZoneIsPassedOnInTime(int proxiesPerZone) {
    for (int ticksAfterReturn = 0; ticksAfterReturn < 10; ticksAfterReturn++) {
      ProxyTierHarness harness = fourZones(proxiesPerZone);
      removeAndReturnZone(harness);
      harness.runTicks(ticksAfterReturn);
      harness.changeLifecycle(Set.of(1L), Lifecycle.DRAINING);
      double arrivedS =
          harness.runUntil("the drain is passed on", 1.5, () -> !harness.isAnyUsed(Set.of(1L)));
      assertTrue(arrivedS <= 1.8, "the drain arrives after " + arrivedS + " s");
    }
  }

  private static void removeAndReturnZone(ProxyTierHarness harness) {
    harness.changeLifecycle(RETURNED_ZONE, Lifecycle.REMOVED);
    harness.runTicks(50);
    List<ServerEntry> returned = new ArrayList<>();
    for (long id : RETURNED_ZONE) {
      returned.add(TestServers.readyServer(id, 0, harness.fixture.nowUs));
    }
    harness.updateEndpoints(returned);
  }

  /**
   * Guards against drains that are never passed on, and with them no other change: an ejection
   * never fits for all proxies at once.
   */
  @Test
  void ejectionsThatNeverFitForAllProxiesArePublishedTableByTable() {
    ProxyTierHarness harness = fourHundredProxies(2);
    harness.changeLifecycle(Set.of(1L, 2L), Lifecycle.DRAINING);
    double arrivedS =
        harness.runUntil("drains are passed on", 3, () -> !harness.isAnyUsed(Set.of(1L, 2L)));
    assertTrue(arrivedS <= 3.3, "drains arrive after " + arrivedS + " s");
  }

  /**
   * Guards against ejections that fill the channel up to its last lines: they would wait until each
   * proxy has acknowledged all earlier updates, and some never do.
   */
  @Test
  void manyEjectionsOfATableStayWithinTheLimitOfEjections() {
    ProxyTierHarness harness = fourHundredProxies(2);
    harness.runUntil("the channel is idle", 60, () -> harness.channel.backlogLines() == 0);
    harness.channel.maxBacklogLines = 0;
    Set<Long> draining = ProxyTierHarness.servers(1, 20);
    harness.changeLifecycle(draining, Lifecycle.DRAINING);
    harness.runUntil("drains are passed on", 10, () -> !harness.isAnyUsed(draining));
    assertTrue(
        harness.channel.maxBacklogLines <= 0.9 * 5100,
        "largest backlog: " + harness.channel.maxBacklogLines + " lines");
  }

  /**
   * Guards against silence about a table with more proxies than the channel can reach with one
   * update, and against other updates that wait for it.
   */
  @Test
  void updatesThatExceedTheChannelAreLoggedAndDoNotBlockOthers() {
    PolicySettings settings =
        ProxyTierHarness.settings(2, 401).linesPerSecond(3000).maxBacklogLines(4500).build();
    ProxyTierHarness harness = new ProxyTierHarness(settings, 3000);
    harness.start(TestServers.readyServers(30, 1), 1, 400);
    harness.runUntil("all proxies are bound", 30, harness::areAllBound);
    assertEquals(List.of(), harness.commands.logLines);
    harness.changeLifecycle(Set.of(1L), Lifecycle.DRAINING);
    harness.runTicks(2);
    harness.join(400, 1);
    harness.runUntil("a proxy of another zone is bound", 3, harness::areAllBound);
    assertTrue(
        harness.commands.logLines.contains(
            "update channel too small: 1 updates deferred so far, the last: 4800 lines for 400"
                + " proxies, of 4275 that the channel holds"),
        harness.commands.logLines.toString());
    assertTrue(harness.commands.logLines.size() < 10, "log lines of repeated attempts are thinned");
  }

  /**
   * Guards against ejections of a rolling deploy that each take a message to every proxy, while the
   * others wait and arrive late: the first one that found room was sent alone.
   */
  @Test
  void ejectionsThatWaitForTheChannelAreSentTogether() {
    PolicySettings settings =
        ProxyTierHarness.settings(4, 148)
            .linesPerSecond(3400)
            .maxBacklogLines(5100)
            .drainGraceUs(1_500_000)
            .build();
    ProxyTierHarness harness = started(settings, 3400, 4, 37);
    harness.runUntil("the channel is idle", 30, () -> harness.channel.backlogLines() == 0);
    harness.changeLifecycle(Set.of(1L), Lifecycle.DRAINING);
    harness.runTick();
    assertEquals(Set.of(1L), harness.commands.ejected);
    harness.changeLifecycle(Set.of(2L, 3L, 4L), Lifecycle.DRAINING);
    double arrivedS =
        harness.runUntil("more are ejected", 1, () -> harness.commands.ejected.size() > 1);
    assertEquals(Set.of(1L, 2L, 3L, 4L), harness.commands.ejected, "in one message to each proxy");
    assertTrue(arrivedS <= 1.8, "the last drain arrives after " + arrivedS + " s");
  }
}
