package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Release of zones without proxies, and binding of proxies when such a zone returns. */
class ZoneScopeTest {
  /**
   * 30 drain grace periods, after which a zone without proxies is released, and a control period.
   */
  private static final int RELEASE_S = 62;

  /** Guards against early release: each proxy that reconnects would then need a new table. */
  @Test
  void aZoneThatReturnsWithinThirtyDrainGracesStillHasItsTable() {
    ProxyTierHarness harness = ProxyTierHarness.started(3, 8, 12, 3, 2).runTicks(50);
    harness.leaveZone(2);
    harness.runTicks(570);
    harness.join(20, 2);
    harness.endBatch();
    assertEquals(Set.of(), harness.clearedTables);
    assertEquals(2, harness.commands.tableByProxy.get(20), "bound in the batch of its joining");
    assertTrue(
        harness.lastCommands.stream()
            .noneMatch(command -> ProxyTierHarness.setsWeightInZone(command, 2, 3)),
        "the weights of its table are unchanged");
    assertEquals(12, harness.usableServers(20).size());
  }

  /**
   * Guards against zones that are never released, and against new tables that ignore the evidence
   * of other zones.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void aZoneThatReturnsLaterGetsANewTableFromEvidenceOfOtherZones(int zone) {
    ProxyTierHarness harness = ProxyTierHarness.started(3, 8, 12, 3, 2);
    harness.leaveZone(0);
    harness.leaveZone(1);
    harness.fixture.latencyMs.put(7L, 50.0);
    harness.runSeconds(90);
    assertEquals(Set.of(0, 1), harness.clearedTables);
    double before = harness.commands.share(2, 7);
    harness.leaveZone(2);
    harness.fixture.attemptsPerZone = 0;
    harness.runSeconds(RELEASE_S);
    assertEquals(Set.of(0, 1, 2), harness.clearedTables);
    assertEquals(Map.of(), harness.commands.weightsByTable, "no zone without proxies has a table");
    harness.join(20, zone);
    harness.endBatch();
    assertEquals(zone, harness.commands.tableByProxy.get(20), "bound in the batch of its joining");
    assertEquals(ProxyTierHarness.servers(1, 12), harness.usableServers(20));
    assertEquals(1, harness.commands.totalWeight(zone), 1e-6);
    double after = harness.commands.share(zone, 7);
    assertTrue(
        after > 1.5 / 12 && after < 1.2 * before,
        "share of a fast server: " + after + ", before in zone 2: " + before);
  }

  /** Guards against a control period that deletes evidence which the next event needs. */
  @Test
  void aProxyOfAZoneReleasedJustBeforeIsBoundAtOnce() {
    ProxyTierHarness harness = ProxyTierHarness.started(3, 8, 12, 3, 2);
    harness.fixture.latencyMs.put(7L, 50.0);
    harness.runSeconds(20);
    harness.leaveZone(2);
    harness.runUntil("released", RELEASE_S, () -> harness.clearedTables.contains(2));
    harness.join(20, 2);
    harness.endBatch();
    assertEquals(2, harness.commands.tableByProxy.get(20));
    assertEquals(ProxyTierHarness.servers(1, 12), harness.usableServers(20));
    assertTrue(
        harness.commands.share(2, 7) > 1.5 / 12,
        "share of a fast server: " + harness.commands.share(2, 7));
    harness.runSeconds(3);
    assertTrue(harness.commands.weightsByTable.containsKey(2), "the table stays");
  }

  /**
   * Guards against a proxy of a new zone that stays unbound until the next control period or gets
   * an outdated table.
   */
  @Test
  void aProxyOfANewZoneIsBoundInTheBatchOfItsJoining() {
    ProxyTierHarness harness = ProxyTierHarness.started(40, 8, 120, 3, 2).runSeconds(300);
    assertEquals(Set.of(0, 1, 2), harness.commands.weightsByTable.keySet());
    harness.join(20, 39);
    harness.endBatch();
    assertEquals(39, harness.commands.tableByProxy.get(20));
    assertEquals(ProxyTierHarness.servers(1, 120), harness.usableServers(20));
    assertEquals(1, harness.commands.totalWeight(39), 1e-6);
  }
}
