package pearusher.policy;

import java.util.List;
import java.util.OptionalInt;

/** Binder of proxies to tables, in the order in which the proxies joined. */
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
   * Binds the proxies that have their zone's table from an earlier process, if the missing lines
   * fit into the channel at once. The others get a complete table later.
   */
  void bindRestored() {
    fleet
        .proxies()
        .byId()
        .forEach(
            (id, proxy) -> {
              OptionalInt missingLines = proxy.pollMissingLines();
              if (!proxy.bound && missingLines.isPresent()) {
                bindRestored(id, proxy, missingLines.getAsInt());
              }
            });
  }

  private void bindRestored(int id, ProxyState proxy, int missingLines) {
    if (missingLines == 0 || channel.reserve(List.of(id), missingLines, ChannelPriority.TIMELY)) {
      issueBind(id, proxy, proxy.zone);
    }
  }

  /** Updates the list of subscribers of each table. */
  void refreshSubscribers() {
    fleet.tables().all().values().forEach(table -> table.subscribers.clear());
    fleet
        .proxies()
        .byId()
        .forEach(
            (id, proxy) -> {
              ZoneTable table = fleet.tables().get(proxy.table);
              if (proxy.subscribed) {
                table.subscribers.add(id);
              }
            });
  }

  /**
   * Binds the proxies that wait for a table; during a join surge to tables of subsets.
   *
   * @return whether all of them are bound
   */
  boolean bindWaiting() {
    List<Integer> waiting =
        fleet
            .proxies()
            .oldestFirst(proxy -> !proxy.bound && (hold.isReleased() || !proxy.joinedWithTables));
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
   * Binds proxies from the tables of subsets to those of their zones, until a bind does not fit.
   *
   * @return whether all binds fitted
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
    if (table.publishedWeights.isEmpty() || (isSubsetTable && table.subscribers.isEmpty())) {
      weights.publish(tableNumber);
    }
    if (!channel.reserve(List.of(id), bindLines(table, proxy), bindPriority(proxy))) {
      return false;
    }
    if (isSubsetTable) {
      table.subscribers.add(id);
    }
    issueBind(id, proxy, tableNumber);
    return true;
  }

  private ChannelPriority bindPriority(ProxyState proxy) {
    if (proxy.bound) {
      return ChannelPriority.DEFERRABLE;
    }
    return surge.isActive() ? ChannelPriority.EJECTION : ChannelPriority.TIMELY;
  }

  /**
   * Returns the content lines of a bind: the bind itself, the table's weights and admission levels,
   * and reinstatements.
   */
  private double bindLines(ZoneTable table, ProxyState proxy) {
    long reinstatements =
        table.publishedWeights.keySet().stream()
            .filter(id -> fleet.servers().get(id).staleEjectionRisk.affects(proxy))
            .count();
    int levels = table.publishedClassCount();
    return 1 + table.publishedWeights.size() + reinstatements + levels;
  }

  private void issueBind(int id, ProxyState proxy, int tableNumber) {
    proxy.bindTo(tableNumber);
    commands.bindProxy(id, tableNumber, 0);
  }
}
