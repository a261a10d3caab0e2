package pearusher.capacity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/** A way to split 3,100 assigners into tiers, each of which has its own endpoint list. */
enum TierMap {
  /** A tier of eight or nine assigners for each service, regardless of its load. */
  SERVICE_EVEN {
    @Override
    List<Tier> tiers(FleetModel fleet) {
      double[] equalWeights = fleet.services().stream().mapToDouble(s -> 1).toArray();
      return tiersByService(fleet, Apportionment.split(CapacityTarget.ASSIGNERS, equalWeights, 1));
    }
  },
  /** A tier for each service, with at least two assigners. The others are split by requests. */
  SERVICE_BY_LOAD {
    @Override
    List<Tier> tiers(FleetModel fleet) {
      double[] load = fleet.services().stream().mapToDouble(FleetModel.Service::requests).toArray();
      return tiersByService(
          fleet, Apportionment.split(CapacityTarget.ASSIGNERS, load, MIN_ASSIGNERS_PER_TIER));
    }
  },
  /** One tier. Every assigner lists every task, and proxies join any assigner. */
  ONE_TIER {
    @Override
    List<Tier> tiers(FleetModel fleet) {
      return List.of(
          Tier.of(fleet, fleet.services(), z -> true, CapacityTarget.TASKS, CapacityTarget.ZONES)
              .withAssigners(CapacityTarget.ASSIGNERS));
    }
  },
  /** A tier for each region's proxies, whose endpoint list contains all tasks of the fleet. */
  REGION_ALL_TASKS {
    @Override
    List<Tier> tiers(FleetModel fleet) {
      return tiersByRegion(fleet, true);
    }
  },
  /** A tier for each region's proxies, whose endpoint list contains the region's tasks only. */
  REGION_OWN_TASKS {
    @Override
    List<Tier> tiers(FleetModel fleet) {
      return tiersByRegion(fleet, false);
    }
  },
  /** A tier for each service in each of its regions. */
  SERVICE_IN_REGION {
    @Override
    List<Tier> tiers(FleetModel fleet) {
      List<Tier> out = new ArrayList<>();
      for (FleetModel.Service service : fleet.services()) {
        for (int r = 0; r < CapacityTarget.REGIONS; r++) {
          int region = r;
          IntPredicate inRegion = z -> fleet.zones().get(z).region() == region;
          Tier tier = Tier.of(fleet, List.of(service), inRegion, -1, -1);
          if (tier.requests() > 0) {
            out.add(tier);
          }
        }
      }
      return assignByLoad(out, 1);
    }
  };

  /** Two assigners, so that one can restart while the other serves. */
  private static final int MIN_ASSIGNERS_PER_TIER = 2;

  /**
   * A tier of assigners.
   *
   * @param listedServers servers in the endpoint list of the tier
   * @param zonesKnown zones in the settings of the tier; an assigner has state for each server in
   *     each of them
   * @param requests requests per second of the proxies of the tier
   * @param proxiesByZone proxies that join assigners of the tier
   */
  record Tier(
      int assigners, int listedServers, int zonesKnown, double requests, int[] proxiesByZone) {

    /**
     * Returns the tier of some services in some zones, without assigners. If {@code tasks} or
     * {@code zones} is negative, the tier has the numbers counted in those zones.
     */
    static Tier of(
        FleetModel fleet,
        List<FleetModel.Service> services,
        IntPredicate zone,
        int tasks,
        int zones) {
      int[] zonesInScope = IntStream.range(0, fleet.zones().size()).filter(zone).toArray();
      int[] proxies = new int[fleet.zones().size()];
      double requests = 0;
      int listedServers = 0;
      int zonesWithProxies = 0;
      for (int z : zonesInScope) {
        for (FleetModel.Service service : services) {
          proxies[z] += service.proxiesByZone()[z];
          requests += service.requestsByZone()[z];
          listedServers += service.tasksByZone()[z];
        }
        zonesWithProxies += proxies[z] > 0 ? 1 : 0;
      }
      return new Tier(
          0,
          tasks < 0 ? listedServers : tasks,
          zones < 0 ? zonesWithProxies : zones,
          requests,
          proxies);
    }

    Tier withAssigners(int assigners) {
      return new Tier(assigners, listedServers, zonesKnown, requests, proxiesByZone);
    }

    int proxies() {
      return Arrays.stream(proxiesByZone).sum();
    }
  }

  abstract List<Tier> tiers(FleetModel fleet);

  /** Returns whether proxies may join an assigner of another region. */
  boolean crossesRegions() {
    return this == SERVICE_EVEN || this == SERVICE_BY_LOAD || this == ONE_TIER;
  }

  private static List<Tier> tiersByService(FleetModel fleet, int[] assigners) {
    return IntStream.range(0, assigners.length)
        .mapToObj(
            k ->
                Tier.of(fleet, List.of(fleet.services().get(k)), z -> true, -1, -1)
                    .withAssigners(assigners[k]))
        .toList();
  }

  private static List<Tier> tiersByRegion(FleetModel fleet, boolean allTasks) {
    List<Tier> out =
        IntStream.range(0, CapacityTarget.REGIONS)
            .mapToObj(
                r ->
                    Tier.of(
                        fleet,
                        fleet.services(),
                        z -> fleet.zones().get(z).region() == r,
                        allTasks ? CapacityTarget.TASKS : -1,
                        allTasks ? CapacityTarget.ZONES : -1))
            .toList();
    return assignByLoad(out, MIN_ASSIGNERS_PER_TIER);
  }

  private static List<Tier> assignByLoad(List<Tier> tiers, int minAssigners) {
    int[] assigners =
        Apportionment.split(
            CapacityTarget.ASSIGNERS,
            tiers.stream().mapToDouble(Tier::requests).toArray(),
            minAssigners);
    return IntStream.range(0, assigners.length)
        .mapToObj(k -> tiers.get(k).withAssigners(assigners[k]))
        .toList();
  }
}
