package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Takeover of a failed assigner's proxies by another one that has no evidence of their zone. */
class TakeoverTest {
  /** Number of entries that a bind can carry in a fleet of 140 proxies. */
  private static final int MAX_ENTRIES_LARGE_FLEET = 218;

  private static void takeOver(
      ProxyTierHarness harness, int from, int count, int zone, Set<Long> table) {
    for (int proxy = from; proxy < from + count; proxy++) {
      harness.joinWithTable(proxy, zone, table);
    }
    harness.endBatch();
  }

  /**
   * Returns the share of all proxies' requests by server, according to the tables of the proxies.
   */
  private static Map<Long, Double> shareByServer(ProxyTierHarness harness) {
    Map<Long, Double> shares = new TreeMap<>();
    for (int table : harness.commands.tableByProxy.values()) {
      double weightScale =
          1 / harness.commands.totalWeight(table) / harness.commands.tableByProxy.size();
      harness
          .commands
          .weightsByTable
          .get(table)
          .forEach((id, weight) -> shares.merge(id, weight * weightScale, Double::sum));
    }
    return shares;
  }

  /**
   * Guards against tables that need evidence of their zone, and against servers in slow start that
   * get a full share.
   */
  @ParameterizedTest
  @ValueSource(ints = {40, 100, 200, 400})
  void proxiesOfAFailedAssignerAreTakenOverWithoutEvidenceOfTheirZone(int servers) {
    ProxyTierHarness harness = ProxyTierHarness.started(4, 140, servers, 2, 10).runTicks(80);
    long newServer = 1_000_003;
    harness.updateEndpoints(List.of(TestServers.readyServer(newServer, 3, harness.fixture.nowUs)));
    harness.runTicks(10);
    takeOver(harness, 100, 30, 3, harness.listedServers(0));
    double arrivalS = harness.runUntil("bound", 2, harness::areAllBound);
    assertTrue(
        arrivalS <= ProxyTierHarness.DRAIN_GRACE_WITH_TOLERANCE_S,
        "proxies are bound after " + arrivalS + " s");
    for (int i = 0; i < 150; i++) {
      double even = 1.0 / (servers + 1);
      double maxShare = harness.fixture.settings.limits().recoveryOverloadFactor() * even;
      Map<Long, Double> shares = shareByServer(harness);
      // The bound is meant for servers in slow start. Where a table lists all servers, the others
      // comply with it, too.
      shares.forEach(
          (id, share) ->
              assertTrue(
                  share > 0 && (servers > MAX_ENTRIES_LARGE_FLEET || share <= maxShare),
                  "share of server " + id + ": " + share));
      double rampProgress = Math.min(1, 0.2 + 0.8 * (10 + i) / 100.0);
      assertTrue(
          shares.getOrDefault(newServer, 0.0) <= maxShare * rampProgress,
          "share of a server in slow start, tick " + i);
      harness.runTick();
    }
    harness.runUntil(
        "all bound to the table of their zone",
        60,
        () -> harness.commands.tableByProxy.get(129) == 3);
  }

  /**
   * Regression: a zone that was added while proxies of other zones were bound to subsets had no
   * subsets until the next control period. Its proxies waited 3.5 s for complete tables, longer
   * than the drain grace period of 2 s.
   */
  @ParameterizedTest
  @CsvSource({"100, 1", "100, 3", "100, 8", "140, 1", "140, 5"})
  void proxiesOfASecondFailedAssignerAreBoundWithinTheDrainGrace(int servers, int laterTicks) {
    ProxyTierHarness harness = ProxyTierHarness.started(4, 140, servers, 1, 20).runTicks(80);
    Set<Long> table = harness.listedServers(0);
    takeOver(harness, 100, 60, 1, table);
    harness.runTicks(laterTicks);
    takeOver(harness, 200, 60, 2, table);
    double arrivalS = harness.runUntil("bound", 2, harness::areAllBound);
    assertTrue(
        arrivalS <= ProxyTierHarness.DRAIN_GRACE_WITH_TOLERANCE_S,
        "proxies of the second assigner are bound after " + arrivalS + " s");
  }

  /**
   * Regression: subset tables were not removed with their zone and still got weights. A server that
   * had been deleted in the meantime then terminated the instance.
   */
  @Test
  void subsetTablesAreClearedWithTheirZone() {
    ProxyTierHarness harness = ProxyTierHarness.started(3, 140, 60, 2, 10).runTicks(80);
    takeOver(harness, 100, 60, 2, harness.listedServers(0));
    takeOver(harness, 200, 60, 0, harness.listedServers(0));
    assertTrue(
        harness.commands.weightsByTable.keySet().stream().anyMatch(t -> t > 2 && t % 3 == 2),
        "no join surge: no table of a subset of zone 2");
    harness.runTicks(5);
    harness.leaveZone(2);
    harness.invariant =
        () ->
            assertTrue(
                !harness.clearedTables.contains(2)
                    || harness.lastCommands.stream()
                        .noneMatch(command -> ProxyTierHarness.setsWeightInZone(command, 2, 3)),
                "weights for a cleared table: " + harness.lastCommands);
    for (int i = 0; i < 1300; i++) {
      if (i % 30 == 0) {
        // A join surge of proxies that lose their streams every 3 s.
        takeOver(harness, 200, 60, 0, harness.listedServers(0));
      }
      if (i == 640) {
        harness.changeLifecycle(Set.of(5L), Lifecycle.REMOVED);
      }
      harness.runTick();
    }
    assertTrue(
        harness.commands.discardedServers.contains(5L),
        "the removed server is deleted in the meantime");
    assertTrue(
        harness.commands.weightsByTable.keySet().stream().noneMatch(t -> t % 3 == 2),
        "tables: " + harness.commands.weightsByTable.keySet());
  }
}
