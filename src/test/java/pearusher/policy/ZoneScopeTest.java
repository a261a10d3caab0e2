package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Zones without proxies lose their state after a while; zones that return get a table at once. */
class ZoneScopeTest {
  /** Thirty graces, after which a zone without proxies is released, and a control period. */
  private static final int RELEASE_S = 62;

  /** Guards against releasing state at once: each proxy that reconnects would cost a new table. */
  @Test
  void aZoneThatReturnsWithinThirtyGracesStillHasItsTable() {
    ScopeSite site = ScopeSite.started(3, 8, 12, 3, 2).runTicks(50);
    site.leaveZone(2);
    site.runTicks(570);
    site.join(20, 2);
    site.endBatch();
    assertEquals(Set.of(), site.clearedTables);
    assertEquals(2, site.commands.tableByProxy.get(20), "bound in the batch of its joining");
    assertTrue(
        site.lastCommands.stream().noneMatch(command -> ScopeSite.setsWeightInZone(command, 2, 3)),
        "its table stayed as it was");
    assertEquals(12, site.usableServers(20).size());
  }

  /**
   * Guards against zones that are never released, and new tables without evidence of other zones.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void aZoneThatReturnsLaterGetsANewTableByEvidenceOfOtherZones(int zone) {
    ScopeSite site = ScopeSite.started(3, 8, 12, 3, 2);
    site.leaveZone(0);
    site.leaveZone(1);
    site.fixture.latencyMs.put(7L, 50.0);
    site.runSeconds(90);
    assertEquals(Set.of(0, 1), site.clearedTables);
    double before = site.commands.share(2, 7);
    site.leaveZone(2);
    site.fixture.attemptsPerZone = 0;
    site.runSeconds(RELEASE_S);
    assertEquals(Set.of(0, 1, 2), site.clearedTables);
    assertEquals(Map.of(), site.commands.weightsByTable, "no table without proxies");
    site.join(20, zone);
    site.endBatch();
    assertEquals(zone, site.commands.tableByProxy.get(20), "bound in the batch of its joining");
    assertEquals(ScopeSite.servers(1, 12), site.usableServers(20));
    assertEquals(1, site.commands.totalWeight(zone), 1e-6);
    double after = site.commands.share(zone, 7);
    assertTrue(after > 1.5 / 12 && after < 1.2 * before, "a quick server's share " + after);
  }

  /** Guards against evidence that a control period drops although the next event needs it. */
  @Test
  void aZoneReleasedAndNeededAtTheNextEventIsBoundAtOnce() {
    ScopeSite site = ScopeSite.started(3, 8, 12, 3, 2);
    site.fixture.latencyMs.put(7L, 50.0);
    site.runSeconds(20);
    site.leaveZone(2);
    site.runUntil("released", RELEASE_S, () -> site.clearedTables.contains(2));
    site.join(20, 2);
    site.endBatch();
    assertEquals(2, site.commands.tableByProxy.get(20));
    assertEquals(ScopeSite.servers(1, 12), site.usableServers(20));
    assertTrue(site.commands.share(2, 7) > 1.5 / 12, "share " + site.commands.share(2, 7));
    site.runSeconds(3);
    assertTrue(site.commands.weightsByTable.containsKey(2), "and stays");
  }

  /**
   * Guards against a proxy of a new zone that stays unbound until the next control period, or gets
   * an outdated table.
   */
  @Test
  void aProxyOfANewZoneIsBoundInTheBatchOfItsJoining() {
    ScopeSite site = ScopeSite.started(40, 8, 120, 3, 2).runSeconds(300);
    assertEquals(Set.of(0, 1, 2), site.commands.weightsByTable.keySet());
    site.join(20, 39);
    site.endBatch();
    assertEquals(39, site.commands.tableByProxy.get(20));
    assertEquals(ScopeSite.servers(1, 120), site.usableServers(20));
    assertEquals(1, site.commands.totalWeight(39), 1e-6);
  }
}
