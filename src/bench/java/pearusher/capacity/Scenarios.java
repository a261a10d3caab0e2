package pearusher.capacity;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.IntPredicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import pearusher.server.MessageSizes;

/**
 * Derives the load of ordinary days, configuration changes and outages from the fleet model under
 * one {@link TierMap}. All figures are computed from the constants of this class, of {@link
 * AssignerLoad} and of {@link CapacityTarget}.
 */
final class Scenarios {
  /** Live heap for each pair of server and zone (issue 34). */
  static final double BYTES_PER_SERVER_ZONE_PAIR = 900;

  /** CPU time of a load report at 2,000 servers and 4 zones (issue 34). */
  static final double CPU_SECONDS_PER_REPORT = 52e-6;

  /** Time from the start to readiness with a small list (issue 34). */
  private static final double READY_SECONDS = 0.7;

  /** The longest time from SIGTERM to the end of the process in a planned restart. */
  private static final double TERMINATION_SECONDS = 0.7;

  /** The share of a day's changes in the busiest hour. */
  private static final double PEAK_HOUR_SHARE = 0.2;

  /** The machines that a rack outage affects. */
  private static final int MACHINES_PER_RACK = 40;

  /** The network bandwidth of a control machine. */
  private static final double CONTROL_BYTES_PER_SECOND = 125e6;

  private final String name;
  private final FleetModel fleet;
  private final MessageSizes sizes;
  private final List<TierMap.Tier> tiers;
  private final boolean tiersCrossRegions;

  Scenarios(TierMap map, FleetModel fleet, MessageSizes sizes) {
    this.name = map.name().toLowerCase(Locale.ROOT) + ".";
    this.fleet = fleet;
    this.sizes = sizes;
    this.tiers = map.tiers(fleet);
    this.tiersCrossRegions = map.crossesRegions();
  }

  void print() {
    printOrdinaryDay();
    printConfigurationChanges();
    double rack = 1.0 * MACHINES_PER_RACK / (CapacityTarget.TASKS + CapacityTarget.ASSIGNERS);
    double zone = taskShare(z -> z == largestZone());
    double region = taskShare(z -> fleet.zones().get(z).region() == 0);
    printOutage("rack", rack, rack);
    // The proxies of the zone fail with it. Others whose assigner was in the zone rejoin.
    printOutage("zone", zone, zone * (1 - (tiersCrossRegions ? zone : zone / region)));
    // In a partition, proxies on either side lose their assigners on the other side.
    printOutage("region", region, tiersCrossRegions ? 2 * region * (1 - region) : 0);
    printOutage("all", 1, 1);
  }

  private void print(String figure, double value, String unit) {
    Figures.print(name + figure, value, unit);
  }

  /** Returns the share of all tasks in these zones. */
  private double taskShare(IntPredicate zone) {
    return fleet.services().stream()
            .mapToInt(
                s ->
                    IntStream.range(0, fleet.zones().size())
                        .filter(zone)
                        .map(z -> s.tasksByZone()[z])
                        .sum())
            .sum()
        * 1.0
        / CapacityTarget.TASKS;
  }

  private int largestZone() {
    return IntStream.range(0, fleet.zones().size())
        .boxed()
        .max((a, b) -> Double.compare(fleet.zones().get(a).weight(), fleet.zones().get(b).weight()))
        .orElseThrow();
  }

  /**
   * Prints the load of an ordinary day. List entries are sent to each watcher, complete lists to
   * each assigner that starts.
   */
  private void printOrdinaryDay() {
    double assignerShare =
        1.0 * CapacityTarget.ASSIGNERS / (CapacityTarget.TASKS + CapacityTarget.ASSIGNERS);
    double starts =
        assignerShare * (CapacityTarget.RESTARTS_PER_DAY + CapacityTarget.FAILURES_PER_DAY);
    double entries = AssignerLoad.fleetListEntriesPerSecond() * CapacityTarget.SECONDS_PER_DAY;
    double entriesSent = entries * watchersPerTask();
    print("day.assigner_starts", starts, "/day");
    print("day.list_entries", entries, "/day");
    print("day.watchers_a_task", watchersPerTask(), "assigners");
    print("day.entries_told", entriesSent, "/day");
    print(
        "day.watch_bytes_a_control_machine",
        entriesSent
            * sizes.listEntry()
            / CapacityTarget.SECONDS_PER_DAY
            / CapacityTarget.CONTROL_MACHINES,
        "bytes/s");
    print("day.whole_list_bytes", starts * meanListBytes(), "bytes/day");
    print("day.rejoining_proxies", starts * proxyCount() / CapacityTarget.ASSIGNERS, "/day");
  }

  /** Returns the mean number of assigners that list one task. */
  private double watchersPerTask() {
    return tiers.stream().mapToDouble(t -> 1.0 * t.assigners() * t.listedServers()).sum()
        / CapacityTarget.TASKS;
  }

  private double meanListBytes() {
    return tiers.stream()
            .mapToDouble(t -> t.assigners() * t.listedServers() * sizes.listEntry())
            .sum()
        / CapacityTarget.ASSIGNERS;
  }

  private double proxyCount() {
    return tiers.stream().mapToInt(TierMap.Tier::proxies).sum();
  }

  /** Prints the load of configuration changes. A change restarts each assigner of the tier. */
  private void printConfigurationChanges() {
    double meanTier = 1.0 * CapacityTarget.ASSIGNERS / tiers.size();
    double restarts = CapacityTarget.CHANGES_PER_DAY * meanTier;
    print("change.peak_rate", CapacityTarget.CHANGES_PER_DAY * PEAK_HOUR_SHARE / 3600, "/s");
    print("change.restarts", restarts, "/day");
    print("change.restarts_an_assigner", restarts / CapacityTarget.ASSIGNERS, "/day");
    print("change.list_bytes", restarts * meanListBytes(), "bytes/day");
    int largest = tiers.stream().mapToInt(TierMap.Tier::assigners).max().orElseThrow();
    print("change.one_by_one_mean", meanTier * (TERMINATION_SECONDS + READY_SECONDS), "s");
    print("change.one_by_one_largest", largest * (TERMINATION_SECONDS + READY_SECONDS), "s");
    print(
        "change.one_by_one_largest_ratio",
        largest * (TERMINATION_SECONDS + READY_SECONDS) / CapacityTarget.MAX_CHANGE_DELAY_SECONDS,
        "of_limit");
    print(
        "change.at_once_largest",
        Math.ceil(
            largest
                * (TERMINATION_SECONDS + READY_SECONDS)
                / CapacityTarget.MAX_CHANGE_DELAY_SECONDS),
        "assigners");
    print("change.as_list_entry_bytes", meanTier * sizes.listEntry(), "bytes");
    double peakRate = CapacityTarget.CHANGES_PER_DAY * PEAK_HOUR_SHARE / 3600;
    print("change.restarts_peak", peakRate * meanTier, "/s");
    print("change.rejoins_peak", peakRate * proxyCount() / tiers.size(), "/s");
  }

  /**
   * Prints the load when a share of all tasks, assigners and proxies fails and recovers at once,
   * and another share of the proxies rejoins.
   */
  private void printOutage(String name, double failedShare, double rejoiningShare) {
    String prefix = name + ".";
    double assigners = failedShare * CapacityTarget.ASSIGNERS;
    double proxies = failedShare * proxyCount();
    print(prefix + "tasks", failedShare * CapacityTarget.TASKS, "tasks");
    print(prefix + "assigners", assigners, "assigners");
    print(prefix + "proxies", proxies, "proxies");
    print(prefix + "rejoining", rejoiningShare * proxyCount(), "proxies");
    print(
        prefix + "entries_told", failedShare * CapacityTarget.TASKS * watchersPerTask(), "entries");
    print(prefix + "change_bytes_an_assigner_most", failedShare * maxListBytes(), "bytes");
    print(
        prefix + "change_time_an_assigner_most",
        failedShare * maxListBytes() / CapacityTarget.MAX_BYTES_PER_SECOND,
        "s");
    double listBytes = assigners * meanListBytes();
    print(prefix + "whole_lists", assigners, "lists");
    print(prefix + "whole_list_bytes", listBytes, "bytes");
    print(
        prefix + "whole_list_bytes_a_control_machine",
        listBytes / CapacityTarget.CONTROL_MACHINES,
        "bytes");
    print(
        prefix + "control_network_time",
        listBytes / CapacityTarget.CONTROL_MACHINES / CONTROL_BYTES_PER_SECOND,
        "s");
    print(
        prefix + "assigner_list_time_mean",
        meanListBytes() / CapacityTarget.MAX_BYTES_PER_SECOND,
        "s");
    print(
        prefix + "assigner_list_time_most",
        maxListBytes() / CapacityTarget.MAX_BYTES_PER_SECOND,
        "s");
    print(
        prefix + "assigner_bind_time_mean",
        meanBindBytes() / CapacityTarget.MAX_BYTES_PER_SECOND,
        "s");
    print(
        prefix + "assigner_bind_time_most",
        maxBindBytes() / CapacityTarget.MAX_BYTES_PER_SECOND,
        "s");
    print(
        prefix + "list_and_bind_ratio_mean",
        (meanListBytes() + meanBindBytes())
            / CapacityTarget.MAX_BYTES_PER_SECOND
            / CapacityTarget.MAX_CHANGE_DELAY_SECONDS,
        "of_limit");
    print(
        prefix + "list_and_bind_ratio_most",
        maxListAndBindBytes()
            / CapacityTarget.MAX_BYTES_PER_SECOND
            / CapacityTarget.MAX_CHANGE_DELAY_SECONDS,
        "of_limit");
  }

  private double[] loads(ToDoubleFunction<AssignerLoad> figure) {
    return tiers.stream()
        .mapToDouble(t -> figure.applyAsDouble(AssignerLoad.of(t, sizes)))
        .toArray();
  }

  private double maxListBytes() {
    return Arrays.stream(loads(AssignerLoad::listBytes)).max().orElseThrow();
  }

  private double maxBindBytes() {
    return Arrays.stream(loads(AssignerLoad::bindBytes)).max().orElseThrow();
  }

  private double maxListAndBindBytes() {
    return Arrays.stream(loads(l -> l.listBytes() + l.bindBytes())).max().orElseThrow();
  }

  private double meanBindBytes() {
    return tiers.stream()
            .mapToDouble(t -> t.assigners() * AssignerLoad.of(t, sizes).bindBytes())
            .sum()
        / CapacityTarget.ASSIGNERS;
  }
}
