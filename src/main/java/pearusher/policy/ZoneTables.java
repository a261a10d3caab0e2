package pearusher.policy;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The tables in scope: one for each zone that has proxies here, and those of subsets of the fleet;
 * subset k of zone z has the number z + k * zones. Grows with zones in scope times subsets.
 */
final class ZoneTables {
  private final PolicySettings settings;
  private final TreeMap<Integer, ZoneTable> tables = new TreeMap<>();

  ZoneTables(PolicySettings settings) {
    this.settings = settings;
  }

  /** The table of this number, created where there is none. */
  ZoneTable get(int number) {
    return tables.computeIfAbsent(
        number,
        absent ->
            new ZoneTable(
                settings.requestClasses().size(),
                AdmissionLevels.fullLevel(settings),
                settings.defaultRetryMode()));
  }

  boolean contains(int number) {
    return tables.containsKey(number);
  }

  boolean isEmpty() {
    return tables.isEmpty();
  }

  /** All tables by number. */
  Map<Integer, ZoneTable> all() {
    return tables;
  }

  /** The tables of zones, without those of subsets, by number. */
  Map<Integer, ZoneTable> zoneTables() {
    return tables.headMap(settings.zoneCount());
  }

  List<Integer> zonesInScope() {
    return List.copyOf(zoneTables().keySet());
  }

  boolean isSubsetTable(int number) {
    return number >= settings.zoneCount();
  }

  int subsetTable(int zone, int subset) {
    return zone + subset * settings.zoneCount();
  }

  /** The zone that a table belongs to. */
  int zoneOf(int number) {
    return number % settings.zoneCount();
  }

  void remove(int number) {
    tables.remove(number);
  }

  /** Removes the tables of all subsets, after {@code onRemoval} was called with each. */
  void removeSubsetTables(Consumer<Integer> onRemoval) {
    Map<Integer, ZoneTable> subsetTables = tables.tailMap(settings.zoneCount());
    subsetTables.keySet().forEach(onRemoval);
    subsetTables.clear();
  }

  /** Whether a published table lists the server. */
  boolean isPublished(long server) {
    return tables.values().stream().anyMatch(table -> table.lists(server));
  }

  void forgetServer(long server) {
    tables.values().forEach(table -> table.forgetServer(server));
  }
}
