package pearusher.policy;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Tables in scope: one for each zone that has proxies at this instance, and one for each subset of
 * the fleet and zone. The table of a zone has the number z of the zone; that of subset k, from 1,
 * has the number z + k * zones. Memory grows with the number of zones in scope times the number of
 * subsets.
 */
final class ZoneTables {
  private final PolicySettings settings;
  private final TreeMap<Integer, ZoneTable> tables = new TreeMap<>();

  ZoneTables(PolicySettings settings) {
    this.settings = settings;
  }

  /** Returns the table of this number, which is created if it does not exist. */
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

  /** Returns all tables by number. */
  Map<Integer, ZoneTable> all() {
    return tables;
  }

  /** Returns the tables of zones, without those of subsets, by number. */
  Map<Integer, ZoneTable> zoneTables() {
    return tables.headMap(settings.zoneCount());
  }

  List<Integer> zonesInScope() {
    return List.copyOf(zoneTables().keySet());
  }

  boolean isSubsetTable(int number) {
    return number >= settings.zoneCount();
  }

  int subsetTableNumber(int zone, int subset) {
    return zone + subset * settings.zoneCount();
  }

  /** Returns the zone of a table. */
  int zoneOf(int number) {
    return number % settings.zoneCount();
  }

  void remove(int number) {
    tables.remove(number);
  }

  /** Removes the tables of all subsets, after passing each number to {@code onRemoval}. */
  void removeSubsetTables(Consumer<Integer> onRemoval) {
    Map<Integer, ZoneTable> subsetTables = tables.tailMap(settings.zoneCount());
    subsetTables.keySet().forEach(onRemoval);
    subsetTables.clear();
  }

  /** Returns whether any published table lists the server. */
  boolean isPublished(long server) {
    return tables.values().stream().anyMatch(table -> table.lists(server));
  }

  void clearDueUpdates(long server) {
    tables.values().forEach(table -> table.clearDueUpdates(server));
  }
}
