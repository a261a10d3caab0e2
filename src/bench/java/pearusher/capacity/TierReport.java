package pearusher.capacity;

import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import pearusher.server.MessageSizes;

/**
 * Prints the load of the assigners under one {@link TierMap}. Means and percentiles are over
 * assigners, not over tiers.
 */
final class TierReport {
  private static final int SECONDS_PER_HOUR = 3600;

  private final String prefix;
  private final List<TierMap.Tier> tiers;
  private final MessageSizes sizes;

  TierReport(TierMap map, FleetModel fleet, MessageSizes sizes) {
    prefix = map.name().toLowerCase(Locale.ROOT) + ".";
    tiers = map.tiers(fleet);
    this.sizes = sizes;
  }

  void print() {
    printTiers();
    printScope();
    printRatios();
    printBytes();
    printLists();
    printOverloaded();
  }

  private void printTiers() {
    int assigners = tiers.stream().mapToInt(TierMap.Tier::assigners).sum();
    Figures.print(prefix + "tiers", tiers.size(), "tiers");
    Figures.print(prefix + "assigners", assigners, "assigners");
    Figures.printSpread(prefix + "tier_assigners", tiers, TierMap.Tier::assigners, "assigners");
  }

  private void printScope() {
    printSpread("servers", AssignerLoad::servers, "servers");
    printSpread("zones_known", AssignerLoad::zonesKnown, "zones");
    printSpread("zones_in_scope", AssignerLoad::zonesInScope, "zones");
    printSpread("proxies", AssignerLoad::proxies, "proxies");
    printSpread("requests", AssignerLoad::requestsPerSecond, "/s");
    printSpread("heard", AssignerLoad::reportsPerSecond, "lines/s");
  }

  private void printRatios() {
    printSpread(
        "core_ratio",
        load ->
            load.reportsPerSecond()
                * Scenarios.CPU_SECONDS_PER_REPORT
                / CapacityTarget.MAX_CORE_SHARE,
        "of_limit");
    printSpread(
        "state_ratio", load -> stateBytes(load) / CapacityTarget.MAX_STATE_BYTES, "of_limit");
    printSpread(
        "state_in_scope_ratio",
        load ->
            load.pairsInScope()
                * Scenarios.BYTES_PER_SERVER_ZONE_PAIR
                / CapacityTarget.MAX_STATE_BYTES,
        "of_limit");
  }

  private void printBytes() {
    printSpread("bytes_in", AssignerLoad::bytesInPerSecond, "bytes/s");
    printSpread("bytes_out", AssignerLoad::bytesOutPerSecond, "bytes/s");
    printSpread(
        "bytes_ratio",
        load -> bytesPerSecond(load) / CapacityTarget.MAX_BYTES_PER_SECOND,
        "of_limit");
  }

  private void printLists() {
    printSpread("list", AssignerLoad::listBytes, "bytes");
    printSpread("list_time", load -> load.listBytes() / CapacityTarget.MAX_BYTES_PER_SECOND, "s");
    printSpread("bind", AssignerLoad::bindBytes, "bytes");
    printSpread("list_entries", load -> SECONDS_PER_HOUR * load.listEntriesPerSecond(), "/h");
    printSpread("pairs_known", AssignerLoad::pairsKnown, "pairs");
    printSpread("pairs_in_scope", AssignerLoad::pairsInScope, "pairs");
  }

  private void printOverloaded() {
    Figures.print(
        prefix + "assigners_over_bytes",
        countAssigners(load -> bytesPerSecond(load) > CapacityTarget.MAX_BYTES_PER_SECOND),
        "assigners");
    Figures.print(
        prefix + "assigners_over_state",
        countAssigners(load -> stateBytes(load) > CapacityTarget.MAX_STATE_BYTES),
        "assigners");
  }

  private static double bytesPerSecond(AssignerLoad load) {
    return load.bytesInPerSecond() + load.bytesOutPerSecond();
  }

  private static double stateBytes(AssignerLoad load) {
    return load.pairsKnown() * Scenarios.BYTES_PER_SERVER_ZONE_PAIR;
  }

  private int countAssigners(Predicate<AssignerLoad> condition) {
    return tiers.stream()
        .filter(tier -> condition.test(AssignerLoad.of(tier, sizes)))
        .mapToInt(TierMap.Tier::assigners)
        .sum();
  }

  private void printSpread(String name, ToDoubleFunction<AssignerLoad> figure, String unit) {
    Figures.printSpread(
        prefix + name,
        tiers,
        tier -> figure.applyAsDouble(AssignerLoad.of(tier, sizes)),
        TierMap.Tier::assigners,
        unit);
  }
}
