package pearusher.policy;

import static pearusher.policy.Statistics.total;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Solves for the distance to other zones' servers that keeps the wanted share of a zone's requests
 * in it, since crossing zones has a cost. The preference grows while the own servers are as fast as
 * the others, falls when they are slower, and never exceeds the capacity of the zone.
 */
final class LocalityPreference {
  /** Greatest share of a zone's requests kept in it: the rest measures other zones' servers. */
  private static final double MAX_OWN_ZONE_SHARE = 0.93;

  /** Servers or proxies of a zone at which the preference begins at none. */
  private static final double NO_PREFERENCE_SIZE = 4.0;

  /** Change of the preference in a period. */
  private static final double GROWTH = 0.04;

  private static final double SHRINK_FACTOR = 0.4;

  /** The own servers' time, relative to others', above which they are slower. */
  private static final double WORSE_RATIO = 1.2;

  /** The same ratio under which they are as fast. */
  private static final double EQUAL_RATIO = 1.1;

  /** The preference grows only while the own servers' time is under this share of the objective. */
  private static final double MAX_GROWTH_OBJECTIVES = 0.3;

  /** Newton steps, which suffice for the solution. */
  private static final int SOLVER_STEPS = 8;

  private final PolicySettings settings;
  private final FleetState fleet;
  private final ControlClock clock;
  private final OverloadDetector overload;

  LocalityPreference(
      PolicySettings settings, FleetState fleet, ControlClock clock, OverloadDetector overload) {
    this.settings = settings;
    this.fleet = fleet;
    this.clock = clock;
    this.overload = overload;
  }

  /** A server's unnormalised weight in a zone: inverse to its time and the distance to it. */
  static double rawWeight(Server server, int zone, double distanceUs) {
    double addedUs = server.zone == zone ? 0 : distanceUs;
    return server.weightFactor / (server.zoneTimeUs + addedUs);
  }

  /** The distance of a zone to other zones' servers, in microseconds. */
  double distanceUs(int zone) {
    List<Server> own = fleet.scope().serversOfZone(zone);
    List<Server> others =
        fleet.scope().servers().stream().filter(server -> server.zone != zone).toList();
    if (own.isEmpty() || others.isEmpty() || settings.costs().crossZone() <= 0) {
      return 0;
    }
    ZoneTable table = fleet.tables().get(zone);
    initialise(table, zone, own.size());
    adapt(table, own, others);
    double ownWeight = total(own, server -> rawWeight(server, zone, 0));
    double evenShare =
        ownWeight / total(fleet.scope().servers(), server -> rawWeight(server, zone, 0));
    double wantedShare = wantedShare(table, zone, evenShare);
    if (wantedShare > evenShare) {
      return solve(others, zone, ownWeight * (1 - wantedShare) / wantedShare);
    }
    return 0;
  }

  private void initialise(ZoneTable table, int zone, int ownServers) {
    if (clock.periodsWithReports() == 0) {
      long ownProxies = fleet.proxies().all().stream().filter(proxy -> proxy.zone == zone).count();
      long size = Math.max(1, Math.min(ownServers, ownProxies));
      table.localityPreference = Math.max(0, 1 - Math.pow(NO_PREFERENCE_SIZE / size, 2));
    } else if (table.plannedShares.isEmpty()) {
      table.localityPreference =
          fleet.tables().all().values().stream()
              .mapToDouble(other -> other.localityPreference)
              .max()
              .orElse(0);
    }
  }

  private void adapt(ZoneTable table, List<Server> own, List<Server> others) {
    if (!clock.periodHasReports()) {
      return;
    }
    double ownTimeUs = meanTimeUs(own);
    double ratio = ownTimeUs / meanTimeUs(others);
    double maxGrowthTimeUs = MAX_GROWTH_OBJECTIVES * settings.shortestLatencyObjectiveUs();
    if (ratio > WORSE_RATIO) {
      table.localityPreference *= SHRINK_FACTOR;
    } else if (ratio < EQUAL_RATIO && ownTimeUs < maxGrowthTimeUs) {
      table.localityPreference = Math.min(1, table.localityPreference + GROWTH);
    }
  }

  private static double meanTimeUs(List<Server> servers) {
    return total(servers, server -> server.weightFactor * server.zoneTimeUs)
        / total(servers, server -> server.weightFactor);
  }

  private double wantedShare(ZoneTable table, int zone, double evenShare) {
    if (overload.isOverloaded() && settings.admissionMode() == AdmissionMode.NONE) {
      return MAX_OWN_ZONE_SHARE;
    }
    double maxShare = Math.min(MAX_OWN_ZONE_SHARE, sustainableShare(zone, evenShare));
    return evenShare + table.localityPreference * (maxShare - evenShare);
  }

  /** The share of the zone's requests that its servers can serve at an even load of the fleet. */
  private double sustainableShare(int zone, double evenShare) {
    // Until usage is reported, demand is counted in proxies.
    ToDoubleFunction<ProxyState> demand =
        proxy -> clock.periodsWithReports() == 0 ? 1 : proxy.totalRequestsPerSecond();
    double allDemand = fleet.proxies().all().stream().mapToDouble(demand).sum();
    double zoneDemand =
        fleet.proxies().all().stream()
            .filter(proxy -> proxy.zone == zone)
            .mapToDouble(demand)
            .sum();
    if (settings.proxiesJoinInOwnZone()) {
      // Proxies at other instances are assumed to have the same demand.
      allDemand *= 1.0 * settings.proxies() / fleet.proxies().size();
    }
    return zoneDemand <= 0 ? 1 : evenShare * allDemand / zoneDemand;
  }

  /** The distance at which the other zones' servers have a given weight in sum. */
  private static double solve(List<Server> others, int zone, double wantedWeight) {
    double distanceUs = 0;
    for (int i = 0; i < SOLVER_STEPS; i++) {
      double currentUs = distanceUs;
      double weight = total(others, server -> rawWeight(server, zone, currentUs));
      double slope =
          total(
              others,
              server -> rawWeight(server, zone, currentUs) / (server.zoneTimeUs + currentUs));
      distanceUs += (weight - wantedWeight) / slope;
    }
    return distanceUs;
  }
}
