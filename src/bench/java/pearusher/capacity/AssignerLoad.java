package pearusher.capacity;

import java.util.Arrays;
import pearusher.server.MessageSizes;

/**
 * Upper bounds of the load of one assigner of a tier. The model spreads attempts evenly over
 * servers and zones, which results in the largest number of load reports.
 */
record AssignerLoad(
    double servers,
    double zonesKnown,
    double zonesInScope,
    double proxies,
    double requestsPerSecond,
    double reportsPerSecond,
    double bytesInPerSecond,
    double bytesOutPerSecond,
    double listBytes,
    double bindBytes,
    double pairsKnown,
    double pairsInScope,
    double listEntriesPerSecond) {
  /** Attempts per request, including retries. */
  static final double ATTEMPTS_PER_REQUEST = 1.1;

  /** The share of the servers reported in a period whose weight changes. */
  static final double CHANGED_WEIGHT_SHARE = 0.46;

  static final double PERIOD_SECONDS = 1;
  static final int CLASSES = 2;

  /** The traffic of watch heartbeats, which are empty HTTP chunks. */
  private static final double HEARTBEAT_BYTES_PER_SECOND = "2\r\n\n\r\n".length() / 2.0;

  /** List entries per restart of a task: terminating, terminated, in service. */
  static final int ENTRIES_PER_RESTART = 3;

  /** List entries per failure of a task: terminated, in service. */
  static final int ENTRIES_PER_FAILURE = 2;

  /** Returns the list entries per second of the fleet on an ordinary day. */
  static double fleetListEntriesPerSecond() {
    double taskShare =
        1.0 * CapacityTarget.TASKS / (CapacityTarget.TASKS + CapacityTarget.ASSIGNERS);
    return taskShare
        * (ENTRIES_PER_RESTART * CapacityTarget.RESTARTS_PER_DAY
            + ENTRIES_PER_FAILURE * CapacityTarget.FAILURES_PER_DAY)
        / CapacityTarget.SECONDS_PER_DAY;
  }

  static AssignerLoad of(TierMap.Tier tier, MessageSizes sizes) {
    double proxies = 1.0 * tier.proxies() / tier.assigners();
    double requests = tier.requests() / tier.assigners();
    double zones = expectedZones(tier.proxiesByZone(), proxies);
    double pairs = tier.listedServers() * zones;
    double reports = reportsPerSecond(requests * ATTEMPTS_PER_REQUEST, pairs);
    double entries = fleetListEntriesPerSecond() * tier.listedServers() / CapacityTarget.TASKS;
    double usage = Math.min(requests, proxies * CLASSES / PERIOD_SECONDS);
    double healthChecks = tier.listedServers() / PERIOD_SECONDS / tier.assigners();
    double bytesIn =
        reports * sizes.loadReport()
            + usage * sizes.usageReport()
            + entries * sizes.listEntry()
            + HEARTBEAT_BYTES_PER_SECOND
            + healthChecks * sizes.healthCheckResponse();
    double changedWeights =
        CHANGED_WEIGHT_SHARE * Math.min(tier.listedServers() / PERIOD_SECONDS, reports);
    double bytesOut =
        proxies * (changedWeights * sizes.weightEntry() + sizes.updateOverhead() / PERIOD_SECONDS)
            + healthChecks * sizes.healthCheckRequest();
    return new AssignerLoad(
        tier.listedServers(),
        tier.zonesKnown(),
        zones,
        proxies,
        requests,
        reports,
        bytesIn,
        bytesOut,
        tier.listedServers() * sizes.listEntry(),
        proxies * (sizes.updateOverhead() + tier.listedServers() * sizes.weightEntry()),
        1.0 * tier.listedServers() * tier.zonesKnown(),
        pairs,
        entries);
  }

  /** Returns the expected number of zones of randomly drawn proxies of the tier, at least one. */
  static double expectedZones(int[] proxiesByZone, double proxies) {
    double all = Arrays.stream(proxiesByZone).sum();
    double zones =
        Arrays.stream(proxiesByZone).mapToDouble(p -> 1 - Math.pow(1 - p / all, proxies)).sum();
    return Math.max(1, zones);
  }

  /**
   * Returns the expected number of pairs of server and zone with an attempt, per second. It never
   * exceeds the number of attempts.
   */
  static double reportsPerSecond(double attemptsPerSecond, double pairs) {
    return pairs / PERIOD_SECONDS * -Math.expm1(-attemptsPerSecond * PERIOD_SECONDS / pairs);
  }
}
