package pearusher.policy;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalInt;
import java.util.stream.IntStream;

/**
 * Assignment of servers past slow start to subsets of the fleet, evenly from each zone, and
 * planning of the subsets' tables. While subsets are in use, memory grows with the number of zones
 * in scope times the number of subsets.
 */
final class SubsetAssignment {
  private final PolicySettings settings;
  private final PolicyCommands commands;
  private final FleetState fleet;

  /** Number of subsets; 0 if none are in use. */
  private int count;

  SubsetAssignment(PolicySettings settings, PolicyCommands commands, FleetState fleet) {
    this.settings = settings;
    this.commands = commands;
    this.fleet = fleet;
  }

  boolean isInUse() {
    return count > 0;
  }

  int count() {
    return count;
  }

  void create(int subsetCount) {
    count = subsetCount;
    update();
  }

  void clear() {
    fleet.tables().removeSubsetTables(commands::clearTable);
    fleet.servers().all().forEach(server -> server.subset = 0);
    count = 0;
  }

  /** Assigns new servers and replans the tables of subsets from those of their zones. */
  void update() {
    if (count == 0) {
      return;
    }
    List<Server> rampedUp =
        fleet.scope().servers().stream()
            .filter(server -> server.availableCapacityShare >= 1 && server.isServing())
            .toList();
    assign(rampedUp);
    for (int zone : fleet.tables().zonesInScope()) {
      for (int subset = 1; subset <= count; subset++) {
        planSubsetTable(zone, subset, rampedUp);
      }
    }
  }

  private void assign(List<Server> rampedUp) {
    int[][] sizes = new int[settings.zoneCount()][count + 1];
    rampedUp.forEach(server -> sizes[server.zone][server.subset]++);
    for (Server server : rampedUp) {
      int[] zoneSizes = sizes[server.zone];
      if (server.subset == 0) {
        server.subset = smallest(zoneSizes);
      }
      zoneSizes[server.subset]++;
    }
  }

  private int smallest(int[] sizes) {
    int smallest = 1;
    for (int subset = 2; subset <= count; subset++) {
      smallest = sizes[subset] < sizes[smallest] ? subset : smallest;
    }
    return smallest;
  }

  private void planSubsetTable(int zone, int subset, List<Server> rampedUp) {
    int number = fleet.tables().subsetTableNumber(zone, subset);
    ZoneTable zoneTable = fleet.tables().get(zone);
    ZoneTable table = fleet.tables().get(number);
    List<Server> members = rampedUp.stream().filter(server -> server.subset == subset).toList();
    table.plan(members, server -> zoneTable.plannedShare(server.id));
    if (isDepleted(table, rampedUp.size())) {
      fleet.proxies().all().stream()
          .filter(proxy -> proxy.table == number)
          .forEach(ProxyState::requestRebind);
    }
  }

  /** Returns whether a subset has lost more than half of its even share of the servers. */
  private boolean isDepleted(ZoneTable table, long rampedUpCount) {
    long listed = table.plannedShares.size();
    return listed == 0 || 2 * listed * count < rampedUpCount;
  }

  /**
   * Returns the usable subset table of a zone with the fewest proxies per server; empty if none.
   */
  OptionalInt leastUsedTable(int zone) {
    long rampedUpCount =
        fleet.scope().servers().stream()
            .filter(server -> server.availableCapacityShare >= 1)
            .count();
    int[] usable =
        IntStream.rangeClosed(1, count)
            .map(subset -> fleet.tables().subsetTableNumber(zone, subset))
            .filter(number -> !isDepleted(fleet.tables().get(number), rampedUpCount))
            .toArray();
    return Arrays.stream(usable)
        .boxed()
        .min(Comparator.comparingDouble(this::proxiesPerServer))
        .map(OptionalInt::of)
        .orElse(OptionalInt.empty());
  }

  private double proxiesPerServer(int number) {
    ZoneTable table = fleet.tables().get(number);
    return (table.subscribers.size() + 1.0) / table.plannedShares.size();
  }
}
