package pearusher.capacity;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.IntPredicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import pearusher.server.MessageSizes;

/**
 * Days and troubles of one map of tiers, derived by formula from the model: who is asked how much
 * at once. Everything here is arithmetic; no figure is measured but the ones named as such.
 */
final class Scenarios {
  /** Measured once on an earlier text (issue 34): live bytes a pair of server and zone. */
  static final double BYTES_PER_PAIR = 900;

  /** Measured once (issue 34): processor time a report line at 2,000 servers and 4 zones. */
  static final double CORE_S_PER_LINE = 52e-6;

  /** Measured once each (issue 34): from a start to ready with a small list. */
  private static final double READY_S = 0.7;

  /**
   * And what comes before it in a planned restart: the program may run on so long after SIGTERM.
   */
  private static final double TERM_S = 0.7;

  /** Assumed: of a day's changes, the part that the busiest hour brings. */
  private static final double PEAK_HOUR_SHARE = 0.2;

  /** Assumed: machines in a rack. */
  private static final int RACK = 40;

  /** Assumed: what a control machine's network carries. */
  private static final double CONTROL_BYTES_PER_S = 125e6;

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
    ordinaryDay();
    changesOfConfiguration();
    double rack = 1.0 * RACK / (CapacityTarget.TASKS + CapacityTarget.ASSIGNERS);
    double zone = share(z -> z == largestZone());
    double region = share(z -> fleet.zones().get(z).region() == 0);
    outage("rack", rack, rack);
    // The zone's own proxies are dead with it; others whose assigner was there join anew.
    outage("zone", zone, zone * (1 - (tiersCrossRegions ? zone : zone / region)));
    // A cut: proxies on either side lose their assigners on the other.
    outage("region", region, tiersCrossRegions ? 2 * region * (1 - region) : 0);
    outage("all", 1, 1);
  }

  private void line(String what, double value, String unit) {
    CapacityModel.line(name + what, value, unit);
  }

  /** Of all tasks, those in these zones. */
  private double share(IntPredicate zone) {
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

  /** Lists' entries to each who watches, whole lists to each assigner that starts. */
  private void ordinaryDay() {
    double ofAssigners =
        1.0 * CapacityTarget.ASSIGNERS / (CapacityTarget.TASKS + CapacityTarget.ASSIGNERS);
    double starts =
        ofAssigners * (CapacityTarget.RESTARTS_PER_DAY + CapacityTarget.FAILURES_PER_DAY);
    double entries = AssignerLoad.fleetEntriesPerS() * CapacityTarget.SECONDS_PER_DAY;
    double told = entries * watchersPerTask();
    line("day.assigner_starts", starts, "/day");
    line("day.list_entries", entries, "/day");
    line("day.watchers_a_task", watchersPerTask(), "assigners");
    line("day.entries_told", told, "/day");
    line(
        "day.watch_bytes_a_control_machine",
        told * sizes.listEntry() / CapacityTarget.SECONDS_PER_DAY / CapacityTarget.CONTROL_MACHINES,
        "bytes/s");
    line("day.whole_list_bytes", starts * meanList(), "bytes/day");
    line("day.rejoining_proxies", starts * proxies() / CapacityTarget.ASSIGNERS, "/day");
  }

  /** Assigners that list one task, on average. */
  private double watchersPerTask() {
    return tiers.stream().mapToDouble(t -> 1.0 * t.assigners() * t.listed()).sum()
        / CapacityTarget.TASKS;
  }

  private double meanList() {
    return tiers.stream().mapToDouble(t -> t.assigners() * t.listed() * sizes.listEntry()).sum()
        / CapacityTarget.ASSIGNERS;
  }

  private double proxies() {
    return tiers.stream().mapToInt(TierMap.Tier::proxies).sum();
  }

  /** Read as a change of settings, which today needs a restart of each assigner of the tier. */
  private void changesOfConfiguration() {
    double meanTier = 1.0 * CapacityTarget.ASSIGNERS / tiers.size();
    double restarts = CapacityTarget.CHANGES_PER_DAY * meanTier;
    line("change.peak_rate", CapacityTarget.CHANGES_PER_DAY * PEAK_HOUR_SHARE / 3600, "/s");
    line("change.restarts", restarts, "/day");
    line("change.restarts_an_assigner", restarts / CapacityTarget.ASSIGNERS, "/day");
    line("change.list_bytes", restarts * meanList(), "bytes/day");
    int largest = tiers.stream().mapToInt(TierMap.Tier::assigners).max().orElseThrow();
    line("change.one_by_one_mean", meanTier * (TERM_S + READY_S), "s");
    line("change.one_by_one_largest", largest * (TERM_S + READY_S), "s");
    line(
        "change.one_by_one_largest_ratio",
        largest * (TERM_S + READY_S) / CapacityTarget.IN_FORCE_S,
        "of_limit");
    line(
        "change.at_once_largest",
        Math.ceil(largest * (TERM_S + READY_S) / CapacityTarget.IN_FORCE_S),
        "assigners");
    line("change.as_list_entry_bytes", meanTier * sizes.listEntry(), "bytes");
    double peakRate = CapacityTarget.CHANGES_PER_DAY * PEAK_HOUR_SHARE / 3600;
    line("change.restarts_peak", peakRate * meanTier, "/s");
    line("change.rejoins_peak", peakRate * proxies() / tiers.size(), "/s");
  }

  /**
   * This part of all tasks, assigners and proxies goes, and comes back at once; that part joins
   * anew.
   */
  private void outage(String what, double part, double rejoining) {
    String at = what + ".";
    double assigners = part * CapacityTarget.ASSIGNERS;
    double proxies = part * proxies();
    line(at + "tasks", part * CapacityTarget.TASKS, "tasks");
    line(at + "assigners", assigners, "assigners");
    line(at + "proxies", proxies, "proxies");
    line(at + "rejoining", rejoining * proxies(), "proxies");
    line(at + "entries_told", part * CapacityTarget.TASKS * watchersPerTask(), "entries");
    line(at + "change_bytes_an_assigner_most", part * mostList(), "bytes");
    line(at + "change_time_an_assigner_most", part * mostList() / CapacityTarget.BYTES_PER_S, "s");
    double lists = assigners * meanList();
    line(at + "whole_lists", assigners, "lists");
    line(at + "whole_list_bytes", lists, "bytes");
    line(
        at + "whole_list_bytes_a_control_machine",
        lists / CapacityTarget.CONTROL_MACHINES,
        "bytes");
    line(
        at + "control_network_time",
        lists / CapacityTarget.CONTROL_MACHINES / CONTROL_BYTES_PER_S,
        "s");
    line(at + "assigner_list_time_mean", meanList() / CapacityTarget.BYTES_PER_S, "s");
    line(at + "assigner_list_time_most", mostList() / CapacityTarget.BYTES_PER_S, "s");
    line(at + "assigner_bind_time_mean", meanBind() / CapacityTarget.BYTES_PER_S, "s");
    line(at + "assigner_bind_time_most", mostBind() / CapacityTarget.BYTES_PER_S, "s");
    line(
        at + "list_and_bind_ratio_mean",
        (meanList() + meanBind()) / CapacityTarget.BYTES_PER_S / CapacityTarget.IN_FORCE_S,
        "of_limit");
    line(
        at + "list_and_bind_ratio_most",
        mostStart() / CapacityTarget.BYTES_PER_S / CapacityTarget.IN_FORCE_S,
        "of_limit");
  }

  private double[] of(ToDoubleFunction<AssignerLoad> what) {
    return tiers.stream().mapToDouble(t -> what.applyAsDouble(AssignerLoad.of(t, sizes))).toArray();
  }

  private double mostList() {
    return Arrays.stream(of(AssignerLoad::listBytes)).max().orElseThrow();
  }

  private double mostBind() {
    return Arrays.stream(of(AssignerLoad::bindBytes)).max().orElseThrow();
  }

  private double mostStart() {
    return Arrays.stream(of(l -> l.listBytes() + l.bindBytes())).max().orElseThrow();
  }

  private double meanBind() {
    return tiers.stream()
            .mapToDouble(t -> t.assigners() * AssignerLoad.of(t, sizes).bindBytes())
            .sum()
        / CapacityTarget.ASSIGNERS;
  }
}
