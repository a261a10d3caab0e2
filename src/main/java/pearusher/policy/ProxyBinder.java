package pearusher.policy;

import java.util.List;
import java.util.OptionalInt;

/** Binds proxies to tables, those that joined first before the others. */
final class ProxyBinder {
  private final PolicyCommands commands;
  private final FleetState fleet;
  private final ChannelBudget channel;
  private final WeightPublisher weights;
  private final RestartHold hold;
  private final JoinSurge surge;
  private final SubsetAssignment subsets;

  ProxyBinder(
      PolicyCommands commands,
      FleetState fleet,
      ChannelBudget channel,
      WeightPublisher weights,
      RestartHold hold,
      JoinSurge surge,
      SubsetAssignment subsets) {
    this.commands = commands;
    this.fleet = fleet;
    this.channel = channel;
    this.weights = weights;
    this.hold = hold;
    this.surge = surge;
    this.subsets = subsets;
  }

  /**
   * Binds proxies that hold their zone's table from an earlier process, if what they lack fits at
   * once. Later they get a complete table.
   */
  void bindRestored() {
    fleet
        .proxies()
        .byId()
        .forEach(
            (id, proxy) -> {
              OptionalInt missingLines = proxy.takeMissingLines();
              if (!proxy.bound && missingLines.isPresent()) {
                bindRestored(id, proxy, missingLines.getAsInt());
              }
            });
  }

  private void bindRestored(int id, ProxyState proxy, int missingLines) {
    if (missingLines == 0 || channel.reserve(List.of(id), missingLines, ChannelPriority.TIMELY)) {
      follow(id, proxy, proxy.zone);
    }
  }

  /** Updates the lists of the proxies that follow each table. */
  void refreshFollowers() {
    fleet.tables().all().values().forEach(table -> table.followers.clear());
    fleet
        .proxies()
        .byId()
        .forEach(
            (id, proxy) -> {
              ZoneTable table = fleet.tables().get(proxy.table);
              if (proxy.followsTable) {
                table.followers.add(id);
              }
            });
  }

  /**
   * Binds the proxies that wait; during a join surge to subsets.
   *
   * @return whether all are bound
   */
  boolean bindWaiting() {
    List<Integer> waiting =
        fleet
            .proxies()
            .oldestFirst(proxy -> !proxy.bound && (hold.isReleased() || !proxy.holdsTables));
    boolean complete = true;
    for (int id : waiting) {
      complete &= bind(id, tableForJoiner(fleet.proxies().get(id).zone));
    }
    return complete;
  }

  private int tableForJoiner(int zone) {
    return surge.isActive() ? subsets.leastUsedTable(zone).orElse(zone) : zone;
  }

  /**
   * Binds proxies that have a subset's table to that of their zone, until one does not fit.
   *
   * @return whether all fitted
   */
  boolean bindFromSubsetsToZones() {
    return fleet.proxies().oldestFirst(proxy -> fleet.tables().isSubsetTable(proxy.table)).stream()
        .filter(id -> !fleet.proxies().isAnyNearMessageLimit(List.of(id)))
        .allMatch(id -> bind(id, fleet.proxies().get(id).zone));
  }

  private boolean bind(int id, int tableNumber) {
    ProxyState proxy = fleet.proxies().get(id);
    ZoneTable table = fleet.tables().get(tableNumber);
    if (table.plannedShares.isEmpty()) {
      return true;
    }
    boolean isSubsetTable = fleet.tables().isSubsetTable(tableNumber);
    if (table.publishedWeights.isEmpty() || (isSubsetTable && table.followers.isEmpty())) {
      weights.publish(tableNumber);
    }
    if (!channel.reserve(List.of(id), bindLines(table, proxy), bindPriority(proxy))) {
      return false;
    }
    if (isSubsetTable) {
      table.followers.add(id);
    }
    follow(id, proxy, tableNumber);
    return true;
  }

  private ChannelPriority bindPriority(ProxyState proxy) {
    if (proxy.bound) {
      return ChannelPriority.DEFERRABLE;
    }
    return surge.isActive() ? ChannelPriority.EJECTION : ChannelPriority.TIMELY;
  }

  /** Lines of a bind: itself, the table's weights and levels, and reinstatements. */
  private double bindLines(ZoneTable table, ProxyState proxy) {
    long reinstatements =
        table.publishedWeights.keySet().stream()
            .filter(id -> fleet.servers().get(id).staleEjectionRisk.affects(proxy))
            .count();
    int levels = table.publishedClassCount();
    return 1 + table.publishedWeights.size() + reinstatements + levels;
  }

  private void follow(int id, ProxyState proxy, int tableNumber) {
    proxy.bindTo(tableNumber);
    commands.bindProxy(id, tableNumber, 0);
  }
}
