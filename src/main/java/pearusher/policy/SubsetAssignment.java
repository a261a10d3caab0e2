package pearusher.policy;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalInt;
import java.util.stream.IntStream;

/**
 * Assigns warm servers to subsets of the fleet, evenly from each zone, and plans the tables of the
 * subsets. While there are subsets it grows with zones in scope times subsets.
 */
final class SubsetAssignment {
  private final PolicySettings settings;
  private final PolicyCommands commands;
  private final FleetState fleet;

  /** Number of subsets; 0: none are in use. */
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

  /** Assigns new servers, and replans the tables of subsets from those of their zones. */
  void update() {
    if (count == 0) {
      return;
    }
    List<Server> warm =
        fleet.scope().servers().stream()
            .filter(server -> server.readiness >= 1 && server.isServing())
            .toList();
    assign(warm);
    for (int zone : fleet.tables().zonesInScope()) {
      for (int subset = 1; subset <= count; subset++) {
        plan(zone, subset, warm);
      }
    }
  }

  private void assign(List<Server> warm) {
    int[][] sizes = new int[settings.zoneCount()][count + 1];
    warm.forEach(server -> sizes[server.zone][server.subset]++);
    for (Server server : warm) {
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

  private void plan(int zone, int subset, List<Server> warm) {
    int number = fleet.tables().subsetTable(zone, subset);
    ZoneTable zoneTable = fleet.tables().get(zone);
    ZoneTable table = fleet.tables().get(number);
    List<Server> members = warm.stream().filter(server -> server.subset == subset).toList();
    table.plan(members, server -> zoneTable.plannedShare(server.id));
    if (isDepleted(table, warm.size())) {
      fleet.proxies().all().stream()
          .filter(proxy -> proxy.table == number)
          .forEach(ProxyState::requestRebind);
    }
  }

  /** Whether the subset has lost more than half of its even part of the warm servers. */
  private boolean isDepleted(ZoneTable table, long warmCount) {
    long listed = table.plannedShares.size();
    return listed == 0 || 2 * listed * count < warmCount;
  }

  /** The subset table of a zone with the fewest proxies for its servers, if any is usable. */
  OptionalInt leastUsedTable(int zone) {
    long warmCount =
        fleet.scope().servers().stream().filter(server -> server.readiness >= 1).count();
    int[] usable =
        IntStream.rangeClosed(1, count)
            .map(subset -> fleet.tables().subsetTable(zone, subset))
            .filter(number -> !isDepleted(fleet.tables().get(number), warmCount))
            .toArray();
    return Arrays.stream(usable)
        .boxed()
        .min(Comparator.comparingDouble(this::proxiesPerServer))
        .map(OptionalInt::of)
        .orElse(OptionalInt.empty());
  }

  private double proxiesPerServer(int number) {
    ZoneTable table = fleet.tables().get(number);
    return (table.followers.size() + 1.0) / table.plannedShares.size();
  }
}
