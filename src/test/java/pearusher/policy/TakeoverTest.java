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

/** Proxies of a failed assigner join another one that has no evidence of their zone. */
class TakeoverTest {
  /** Entries that a bind may carry in a fleet of 140 proxies. */
  private static final int MAX_ENTRIES_LARGE_FLEET = 218;

  private static void takeOver(ScopeSite site, int from, int count, int zone, Set<Long> table) {
    for (int proxy = from; proxy < from + count; proxy++) {
      site.joinHolding(proxy, zone, table);
    }
    site.endBatch();
  }

  /** What each server gets of the requests of all proxies, by the tables that these follow. */
  private static Map<Long, Double> shareByServer(ScopeSite site) {
    Map<Long, Double> shares = new TreeMap<>();
    for (int table : site.commands.tableByProxy.values()) {
      double weightScale = 1 / site.commands.totalWeight(table) / site.commands.tableByProxy.size();
      site.commands
          .weightsByTable
          .get(table)
          .forEach((id, weight) -> shares.merge(id, weight * weightScale, Double::sum));
    }
    return shares;
  }

  /**
   * Guards against tables that need evidence of their zone, and cold servers with the share of warm
   * ones.
   */
  @ParameterizedTest
  @ValueSource(ints = {40, 100, 200, 400})
  void proxiesOfAFailedAssignerAreTakenOverWithoutEvidenceOfTheirZone(int servers) {
    ScopeSite site = ScopeSite.started(4, 140, servers, 2, 10).runTicks(80);
    long coldServer = 1_000_003;
    site.updateEndpoints(List.of(TestServers.readyServer(coldServer, 3, site.fixture.nowUs)));
    site.runTicks(10);
    takeOver(site, 100, 30, 3, site.listedServers(0));
    double arrivalS = site.runUntil("bound", 2, site::areAllBound);
    assertTrue(arrivalS <= ScopeSite.GRACE_S, "bound after " + arrivalS);
    for (int i = 0; i < 150; i++) {
      double even = 1.0 / (servers + 1);
      double maxShare = site.fixture.settings.limits().recoveryOverloadFactor() * even;
      Map<Long, Double> shares = shareByServer(site);
      // The bound is meant for cold servers; where a table lists all, warm ones stay within it too.
      shares.forEach(
          (id, share) ->
              assertTrue(
                  share > 0 && (servers > MAX_ENTRIES_LARGE_FLEET || share <= maxShare),
                  id + " gets " + share));
      double rampProgress = Math.min(1, 0.2 + 0.8 * (10 + i) / 100.0);
      assertTrue(
          shares.getOrDefault(coldServer, 0.0) <= maxShare * rampProgress,
          "share of a cold server at " + i);
      site.runTick();
    }
    site.runUntil("all at their zone's table", 60, () -> site.commands.tableByProxy.get(129) == 3);
  }

  /**
   * Regression: a new zone, while proxies of others were bound to subsets, had no subsets until the
   * next control period; its proxies waited for complete tables, 3.5 s where the grace is 2 s.
   */
  @ParameterizedTest
  @CsvSource({"100, 1", "100, 3", "100, 8", "140, 1", "140, 5"})
  void proxiesOfASecondFailedAssignerAreBoundInTimeAsWell(int servers, int laterTicks) {
    ScopeSite site = ScopeSite.started(4, 140, servers, 1, 20).runTicks(80);
    Set<Long> table = site.listedServers(0);
    takeOver(site, 100, 60, 1, table);
    site.runTicks(laterTicks);
    takeOver(site, 200, 60, 2, table);
    double arrivalS = site.runUntil("bound", 2, site::areAllBound);
    assertTrue(arrivalS <= ScopeSite.GRACE_S, "the second are bound after " + arrivalS);
  }

  /**
   * Regression: subset tables outlived their zone and got weights; a server that was forgotten
   * meanwhile ended the instance.
   */
  @Test
  void subsetTablesAreClearedWithTheirZone() {
    ScopeSite site = ScopeSite.started(3, 140, 60, 2, 10).runTicks(80);
    takeOver(site, 100, 60, 2, site.listedServers(0));
    takeOver(site, 200, 60, 0, site.listedServers(0));
    assertTrue(
        site.commands.weightsByTable.keySet().stream().anyMatch(t -> t > 2 && t % 3 == 2),
        "a join surge");
    site.runTicks(5);
    site.leaveZone(2);
    site.invariant =
        () ->
            assertTrue(
                !site.clearedTables.contains(2)
                    || site.lastCommands.stream()
                        .noneMatch(command -> ScopeSite.setsWeightInZone(command, 2, 3)),
                "" + site.lastCommands);
    for (int i = 0; i < 1300; i++) {
      if (i % 30 == 0) {
        // A join surge of proxies that lose their streams every three seconds.
        takeOver(site, 200, 60, 0, site.listedServers(0));
      }
      if (i == 640) {
        site.changeLifecycle(Set.of(5L), Lifecycle.REMOVED);
      }
      site.runTick();
    }
    assertTrue(site.commands.forgottenServers.contains(5L), "forgotten in the meantime");
    assertTrue(
        site.commands.weightsByTable.keySet().stream().noneMatch(t -> t % 3 == 2),
        "left: " + site.commands.weightsByTable.keySet());
  }
}
