package pearusher.capacity;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import pearusher.server.MessageSizes;

/** The fleet model, its tiers and picks from a table. */
class FleetModelTest {
  private final FleetModel fleet = new FleetModel(FleetModel.Skew.ASSUMED);

  @Test
  void fleetHasTheSizeOfTheTarget() {
    List<FleetModel.Service> services = fleet.services();
    assertEquals(CapacityTarget.SERVICES, services.size());
    assertEquals(CapacityTarget.ZONES, fleet.zones().size());
    assertEquals(
        CapacityTarget.REGIONS,
        fleet.zones().stream().mapToInt(FleetModel.Zone::region).distinct().count());
    assertEquals(CapacityTarget.TASKS, services.stream().mapToInt(FleetModel.Service::tasks).sum());
    assertEquals(
        CapacityTarget.TASKS,
        services.stream().mapToInt(s -> Arrays.stream(s.tasksByZone()).sum()).sum());
    assertEquals(
        CapacityTarget.REQUESTS_PER_SECOND,
        services.stream().mapToDouble(FleetModel.Service::requests).sum(),
        1e-3);
  }

  @Test
  void tasksFollowZipfsLaw() {
    int[] tasks = fleet.services().stream().mapToInt(FleetModel.Service::tasks).toArray();
    double[] zipf = Apportionment.zipf(CapacityTarget.SERVICES, FleetModel.Skew.ASSUMED.tasks());
    int free = CapacityTarget.TASKS - CapacityTarget.SERVICES * FleetModel.MIN_TASKS_PER_SERVICE;
    for (int k = 0; k < tasks.length; k++) {
      assertEquals(
          FleetModel.MIN_TASKS_PER_SERVICE + free * zipf[k] / Arrays.stream(zipf).sum(),
          tasks[k],
          1);
    }
  }

  @Test
  void fleetIsDeterministicForASeed() {
    assertEquals(requestsByService(1), requestsByService(1));
    assertTrue(!requestsByService(1).equals(requestsByService(2)));
  }

  private static List<Double> requestsByService(long seed) {
    return new FleetModel(new FleetModel.Skew(0.9, 1, 0.7, 21.5, seed))
        .services().stream().map(FleetModel.Service::requests).toList();
  }

  @ParameterizedTest
  @EnumSource(TierMap.class)
  void everyTierMapUsesAllAssignersAndServesAllRequests(TierMap map) {
    List<TierMap.Tier> tiers = map.tiers(fleet);
    assertEquals(CapacityTarget.ASSIGNERS, tiers.stream().mapToInt(TierMap.Tier::assigners).sum());
    assertEquals(
        CapacityTarget.REQUESTS_PER_SECOND,
        tiers.stream().mapToDouble(TierMap.Tier::requests).sum(),
        1e-3);
    assertTrue(tiers.stream().allMatch(t -> t.assigners() >= 1 && t.proxies() >= 1));
  }

  @ParameterizedTest
  @EnumSource(TierMap.class)
  void reportsAreBoundedByAttemptsAndPairs(TierMap map) throws Exception {
    MessageSizes sizes = MessageSizes.measure();
    for (TierMap.Tier tier : map.tiers(fleet)) {
      AssignerLoad load = AssignerLoad.of(tier, sizes);
      assertTrue(
          load.reportsPerSecond()
              <= load.requestsPerSecond() * AssignerLoad.ATTEMPTS_PER_REQUEST + 1e-9);
      assertTrue(
          load.reportsPerSecond() <= load.pairsInScope() / AssignerLoad.PERIOD_SECONDS + 1e-9);
      assertTrue(load.zonesInScope() <= Math.max(1, load.proxies()) + 1e-9);
    }
  }

  @Test
  void apportionedPartsAddUp() {
    assertArrayEquals(new int[] {3, 2, 2}, Apportionment.split(7, new double[] {1, 1, 1}, 0));
    assertArrayEquals(new int[] {5, 1, 1}, Apportionment.split(7, new double[] {1, 0, 0}, 1));
    assertThrows(
        IllegalArgumentException.class, () -> Apportionment.split(1, new double[] {1, 1}, 1));
  }

  @Test
  void picksFollowTheWeights() {
    ProxyTable table = new ProxyTable();
    table.replace("a:1,b:2,c:0.5,d:4.5");
    table.change("a:3");
    table.buildAlias();
    int picks = 200_000;
    double[] sums = new double[4];
    double[] alias = new double[4];
    SplittableRandom random = new SplittableRandom(7);
    for (int k = 0; k < picks; k++) {
      sums[table.pickBySums(random)] += 1.0 / picks;
      alias[table.pickByAlias(random)] += 1.0 / picks;
    }
    double[] shares = {table.share(0), table.share(1), table.share(2), table.share(3)};
    assertArrayEquals(new double[] {0.3, 0.2, 0.05, 0.45}, shares, 1e-9);
    assertArrayEquals(shares, sums, 0.01);
    assertArrayEquals(shares, alias, 0.01);
  }
}
