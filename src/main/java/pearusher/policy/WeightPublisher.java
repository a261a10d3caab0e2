package pearusher.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Publisher of weights that changed beyond the hysteresis, the most important ones first. */
final class WeightPublisher {
  /** Relative change of a weight beyond which it is published. */
  static final double HYSTERESIS = 0.1;

  private final PolicyCommands commands;
  private final FleetState fleet;
  private final ChannelBudget channel;
  private final EjectionQueue ejections;

  /** Whether changes of tables may be due that have not been published. */
  private boolean pending;

  /**
   * A weight that is due for an update.
   *
   * @param importance share of requests that the update moves, times the number of times that it
   *     was due
   * @param urgent whether the update lowers the weight of a server in slow start
   */
  private record WeightUpdate(
      int tableNumber, long server, double weight, double importance, boolean urgent) {}

  WeightPublisher(
      PolicyCommands commands, FleetState fleet, ChannelBudget channel, EjectionQueue ejections) {
    this.commands = commands;
    this.fleet = fleet;
    this.channel = channel;
    this.ejections = ejections;
  }

  /** Requests the publication of all changes of tables that are due. */
  void requestPublication() {
    pending = true;
  }

  boolean isPending() {
    return pending;
  }

  /** Publishes the pending changes of all tables that fit into the channel. */
  void publishPending() {
    pending = !publish(fleet.tables().all());
  }

  /** Publishes the changes of one table that fit into the channel. */
  void publish(int tableNumber) {
    publish(Map.of(tableNumber, fleet.tables().get(tableNumber)));
  }

  /**
   * Publishes the changes of these tables. Urgent updates come first. The others follow by table,
   * so that messages are long, and by importance. Entries of ejected servers are removed last.
   *
   * @return whether all changes are published
   */
  private boolean publish(Map<Integer, ZoneTable> tables) {
    List<WeightUpdate> updates = new ArrayList<>();
    tables.forEach((number, table) -> collectUpdates(number, table, updates));
    Map<Integer, Double> importanceByTable = new TreeMap<>();
    updates.forEach(
        update -> importanceByTable.merge(update.tableNumber(), update.importance(), Double::sum));
    updates.sort(
        Comparator.comparing((WeightUpdate update) -> !update.urgent())
            .thenComparing(update -> -importanceByTable.get(update.tableNumber()))
            .thenComparing(update -> -update.importance()));
    boolean complete = true;
    for (WeightUpdate update : updates) {
      complete &= publish(update);
    }
    return complete;
  }

  private void collectUpdates(int number, ZoneTable table, List<WeightUpdate> updates) {
    if (fleet.proxies().isAnyNearMessageLimit(table.subscribers)) {
      return;
    }
    Set<Long> ids = new LinkedHashSet<>(table.publishedWeights.keySet());
    ids.addAll(table.plannedShares.keySet());
    double scale = TableScale.of(table, fleet.scope().servers());
    for (long id : ids) {
      Server server = fleet.servers().get(id);
      double plannedWeight = scale * table.plannedShare(id);
      double weight = server.isServing() ? plannedWeight : 0;
      double published = table.publishedWeight(id);
      if (isDue(id, weight, published)) {
        int dueCount = server.isServing() ? table.countDueUpdate(id) : 0;
        double importance = dueCount * Math.abs(weight - published);
        boolean urgent = server.isServing() && server.slowStartFactor < 1 && weight < published;
        updates.add(new WeightUpdate(number, id, weight, importance, urgent));
      }
    }
  }

  private boolean isDue(long server, double weight, double published) {
    boolean withinHysteresis = weight > 0 && Math.abs(weight - published) <= HYSTERESIS * published;
    return weight != published && !withinHysteresis && !ejections.isReinstatementPending(server);
  }

  private boolean publish(WeightUpdate update) {
    ZoneTable table = fleet.tables().get(update.tableNumber());
    long id = update.server();
    boolean isNewEntry = !table.lists(id);
    boolean needsReinstatement =
        isNewEntry && fleet.servers().get(id).staleEjectionRisk != StaleEjectionRisk.NONE;
    ChannelPriority priority =
        update.urgent() ? ChannelPriority.TIMELY : ChannelPriority.DEFERRABLE;
    boolean fits =
        !fleet.scope().isFullFor(table, id)
            && channel.reserve(table.subscribers, needsReinstatement ? 2 : 1, priority);
    if (fits) {
      setWeight(update.tableNumber(), table, id, update.weight());
    }
    return fits;
  }

  /**
   * Removes a server from the published tables, as far as the removals fit into the channel.
   *
   * @return whether no published table lists the server
   */
  boolean removeFromTables(long server, ChannelPriority priority) {
    fleet
        .tables()
        .all()
        .forEach(
            (number, table) -> {
              if (table.lists(server) && channel.reserve(table.subscribers, 1, priority)) {
                setWeight(number, table, server, 0);
              }
            });
    return !fleet.tables().isPublished(server);
  }

  /** Sets a weight for which lines are reserved; 0 removes the entry. */
  void setWeight(int tableNumber, ZoneTable table, long server, double weight) {
    boolean unchanged = weight == table.publishedWeight(server);
    if (unchanged || (weight > 0 && fleet.scope().isFullFor(table, server))) {
      return;
    }
    commands.setWeight(tableNumber, server, weight);
    table.recordWeight(server, weight);
  }
}
