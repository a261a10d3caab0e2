package pearusher.policy;

import java.util.Collection;

/**
 * Publisher of reinstatements. Each one is published together with the server's weights, since a
 * server in slow start would otherwise get its earlier weight, and many servers restart at once.
 */
final class ReinstatementPublisher {
  /** Lines per proxy: the reinstatement and the weight. */
  private static final int LINES_PER_PROXY = 2;

  private static final ChannelPriority PRIORITY = ChannelPriority.REINSTATEMENT;

  private final PolicyCommands commands;
  private final FleetState fleet;
  private final ChannelBudget channel;
  private final EjectionQueue ejections;
  private final WeightPublisher weights;

  ReinstatementPublisher(
      PolicyCommands commands,
      FleetState fleet,
      ChannelBudget channel,
      EjectionQueue ejections,
      WeightPublisher weights) {
    this.commands = commands;
    this.fleet = fleet;
    this.channel = channel;
    this.ejections = ejections;
    this.weights = weights;
  }

  /** Publishes the pending reinstatements that fit into the channel. */
  void publish() {
    ejections.publishReinstatements(id -> publish(fleet.servers().get(id)));
  }

  private boolean publish(Server server) {
    Collection<Integer> recipients = recipients(server);
    if (!channel.limits().fitsIdleChannel(PRIORITY, recipients.size(), LINES_PER_PROXY)) {
      return publishByTable(server);
    }
    if (!channel.reserve(recipients, LINES_PER_PROXY, PRIORITY)) {
      return false;
    }
    fleet
        .tables()
        .zoneTables()
        .forEach(
            (zone, table) -> {
              double share = table.plannedShare(server.id);
              double scale = TableScale.of(table, fleet.scope().servers());
              weights.setWeight(zone, table, server.id, scale * share);
            });
    commands.reinstate(server.id);
    return true;
  }

  /**
   * Removes the server from all published tables, one table at a time, and reinstates it then. The
   * tables list it again as part of their next changes, each with the reinstatement.
   */
  private boolean publishByTable(Server server) {
    boolean published =
        weights.removeFromTables(server.id, PRIORITY)
            && channel.reserve(unboundProxies(), LINES_PER_PROXY, PRIORITY);
    if (published) {
      commands.reinstate(server.id);
      weights.requestPublication();
    }
    return published;
  }

  /**
   * Returns the proxies that need the reinstatement. If no table lists the server, only proxies
   * that are not bound to a table may exclude it.
   */
  private Collection<Integer> recipients(Server server) {
    boolean isListed =
        fleet.scope().isOutdated() || server.inScope || fleet.tables().isPublished(server.id);
    return isListed ? fleet.proxies().byId().keySet() : unboundProxies();
  }

  private Collection<Integer> unboundProxies() {
    return fleet.proxies().oldestFirst(proxy -> !proxy.subscribed);
  }
}
