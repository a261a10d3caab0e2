package pearusher.policy;

import static pearusher.policy.Statistics.total;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Computes the penalty, in response time, on servers of other zones that keeps the wanted share of
 * a zone's requests in the zone, since requests across zones have a cost. The preference for the
 * own zone rises while its servers are as fast as the others, falls when they are slower, and never
 * exceeds the capacity of the zone.
 */
final class LocalityPreference {
  /**
   * Maximum share of a zone's requests that stay in the zone. The remaining requests measure the
   * servers of other zones.
   */
  private static final double MAX_OWN_ZONE_SHARE = 0.93;

  /**
   * Number of servers or proxies of a zone, whichever is lower, up to which its initial preference
   * is 0.
   */
  private static final double MAX_SIZE_WITHOUT_PREFERENCE = 4.0;

  /** Added to the preference in each period in which it rises. */
  private static final double PREFERENCE_INCREMENT = 0.04;

  /** Multiplies the preference in each period in which it falls. */
  private static final double PREFERENCE_DECREASE_FACTOR = 0.4;

  /**
   * Ratio of the mean response time of the own servers to that of the others above which the own
   * servers count as slower.
   */
  private static final double SLOWER_TIME_RATIO = 1.2;

  /**
   * Ratio of the mean response time of the own servers to that of the others below which the own
   * servers count as equally fast.
   */
  private static final double EQUAL_TIME_RATIO = 1.1;

  /**
   * Mean response time of the own servers, in latency objectives, below which the preference may
   * rise.
   */
  private static final double MAX_INCREASE_OBJECTIVES = 0.3;

  /** Number of Newton iterations, which is sufficient for the solution. */
  private static final int NEWTON_ITERATIONS = 8;

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

  /**
   * Returns a server's unnormalised weight in a zone, which is inverse to its response time plus
   * the penalty.
   *
   * @param penaltyUs penalty on servers of other zones, in microseconds
   */
  static double unnormalisedWeight(Server server, int zone, double penaltyUs) {
    double addedUs = server.zone == zone ? 0 : penaltyUs;
    return server.weightFactor / (server.zoneTimeUs + addedUs);
  }

  /**
   * Adjusts the zone's preference to the last reports and returns the penalty on servers of other
   * zones as seen from the zone, in microseconds; 0 if no penalty is needed.
   */
  double crossZonePenaltyUs(int zone) {
    List<Server> own = fleet.scope().serversOfZone(zone);
    List<Server> others =
        fleet.scope().servers().stream().filter(server -> server.zone != zone).toList();
    if (own.isEmpty() || others.isEmpty() || settings.costs().crossZone() <= 0) {
      return 0;
    }
    ZoneTable table = fleet.tables().get(zone);
    initialisePreference(table, zone, own.size());
    adjustPreference(table, own, others);
    double ownWeight = total(own, server -> unnormalisedWeight(server, zone, 0));
    double evenShare =
        ownWeight / total(fleet.scope().servers(), server -> unnormalisedWeight(server, zone, 0));
    double wantedShare = wantedShare(table, zone, evenShare);
    if (wantedShare > evenShare) {
      return solvePenaltyUs(others, zone, ownWeight * (1 - wantedShare) / wantedShare);
    }
    return 0;
  }

  private void initialisePreference(ZoneTable table, int zone, int ownServers) {
    if (clock.periodsWithReports() == 0) {
      long ownProxies = fleet.proxies().all().stream().filter(proxy -> proxy.zone == zone).count();
      long size = Math.max(1, Math.min(ownServers, ownProxies));
      table.localityPreference =
          Math.max(0, 1 - StrictMath.pow(MAX_SIZE_WITHOUT_PREFERENCE / size, 2));
    } else if (table.plannedShares.isEmpty()) {
      table.localityPreference =
          fleet.tables().all().values().stream()
              .mapToDouble(other -> other.localityPreference)
              .max()
              .orElse(0);
    }
  }

  private void adjustPreference(ZoneTable table, List<Server> own, List<Server> others) {
    if (!clock.periodHasReports()) {
      return;
    }
    double ownTimeUs = meanTimeUs(own);
    double ratio = ownTimeUs / meanTimeUs(others);
    double maxIncreaseTimeUs = MAX_INCREASE_OBJECTIVES * settings.shortestLatencyObjectiveUs();
    if (ratio > SLOWER_TIME_RATIO) {
      table.localityPreference *= PREFERENCE_DECREASE_FACTOR;
    } else if (ratio < EQUAL_TIME_RATIO && ownTimeUs < maxIncreaseTimeUs) {
      table.localityPreference = Math.min(1, table.localityPreference + PREFERENCE_INCREMENT);
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

  /**
   * Returns the share of the zone's requests that its servers can serve when all servers of the
   * fleet have the same load.
   */
  private double sustainableShare(int zone, double evenShare) {
    // Until usage is reported, each proxy counts as the same demand.
    ToDoubleFunction<ProxyState> demand =
        proxy -> clock.periodsWithReports() == 0 ? 1 : proxy.totalRequestsPerSecond();
    double allDemand = fleet.proxies().all().stream().mapToDouble(demand).sum();
    double zoneDemand =
        fleet.proxies().all().stream()
            .filter(proxy -> proxy.zone == zone)
            .mapToDouble(demand)
            .sum();
    if (settings.proxiesJoinInOwnZone()) {
      // Proxies of other instances are assumed to have the same mean demand.
      allDemand *= 1.0 * settings.proxies() / fleet.proxies().size();
    }
    return zoneDemand <= 0 ? 1 : evenShare * allDemand / zoneDemand;
  }

  /**
   * Returns the penalty, in microseconds, at which the servers of other zones have a given total
   * weight.
   */
  private static double solvePenaltyUs(List<Server> others, int zone, double wantedWeight) {
    double penaltyUs = 0;
    for (int i = 0; i < NEWTON_ITERATIONS; i++) {
      double currentUs = penaltyUs;
      double weight = total(others, server -> unnormalisedWeight(server, zone, currentUs));
      double slope =
          total(
              others,
              server ->
                  unnormalisedWeight(server, zone, currentUs) / (server.zoneTimeUs + currentUs));
      penaltyUs += (weight - wantedWeight) / slope;
    }
    return penaltyUs;
  }
}
