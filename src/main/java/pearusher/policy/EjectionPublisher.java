package pearusher.policy;

import java.util.List;

/**
 * Publisher of ejections, which precede all other changes. While the channel has a backlog,
 * ejections are batched until they outweigh the overhead of their messages.
 */
final class EjectionPublisher {
  /** Share of the backlog limit up to which a small batch of ejections is published. */
  private static final double FEW_EJECTIONS_BACKLOG_SHARE = 0.27;

  /**
   * Share of the backlog limit up to which a large batch of ejections is published. A large batch
   * uses the rest of the backlog that ejections may fill.
   */
  private static final double MANY_EJECTIONS_BACKLOG_SHARE = 0.5;

  private static final ChannelPriority PRIORITY = ChannelPriority.EJECTION;

  private final PolicySettings settings;
  private final PolicyCommands commands;
  private final FleetState fleet;
  private final ChannelBudget channel;
  private final EjectionQueue ejections;
  private final JoinSurge surge;
  private final WeightPublisher weights;

  EjectionPublisher(
      PolicySettings settings,
      PolicyCommands commands,
      FleetState fleet,
      ChannelBudget channel,
      EjectionQueue ejections,
      JoinSurge surge,
      WeightPublisher weights) {
    this.settings = settings;
    this.commands = commands;
    this.fleet = fleet;
    this.channel = channel;
    this.ejections = ejections;
    this.surge = surge;
    this.weights = weights;
  }

  /**
   * Publishes the pending ejections if they are due.
   *
   * @return whether they would arrive after the drain grace period of the oldest one
   */
  boolean publish(long nowUs) {
    double costLines = costLines();
    boolean late = isLate(nowUs, costLines);
    if (isPublicationDue(costLines, late)) {
      ejections.publishEjections(this::publishOne);
    }
    return late;
  }

  /** Returns the channel lines of all pending ejections, message overhead included. */
  private double costLines() {
    double subscriberLines =
        fleet.tables().all().values().stream().mapToDouble(this::linesForSubscribers).sum();
    int unboundProxies =
        surge.isActive() ? 0 : fleet.proxies().oldestFirst(proxy -> !proxy.subscribed).size();
    return subscriberLines
        + channel.limits().messageLines(ejections.ejectionCount()) * unboundProxies;
  }

  private double linesForSubscribers(ZoneTable table) {
    long listed = ejections.countEjections(table::lists);
    return table.subscribers.size() * channel.limits().messageLines(listed);
  }

  private boolean isLate(long nowUs, double costLines) {
    long waitUs =
        ejections.oldestEjection().stream()
            .map(id -> nowUs - fleet.servers().get(id).ejectionChangedUs)
            .findFirst()
            .orElse(0);
    return channel.backlogLines() + costLines + channel.limits().nominalLines(waitUs)
        > ChannelLimits.TIMELY_DRAIN_GRACE_SHARE * channel.limits().drainGraceLines();
  }

  private boolean isPublicationDue(double costLines, boolean late) {
    double maxBacklogLines = settings.channel().maxBacklogLines();
    boolean many = ejections.ejectionCount() > settings.channel().messageOverheadLines();
    boolean large =
        many && costLines > (PRIORITY.backlogShare - FEW_EJECTIONS_BACKLOG_SHARE) * maxBacklogLines;
    double backlogShare = large ? MANY_EJECTIONS_BACKLOG_SHARE : FEW_EJECTIONS_BACKLOG_SHARE;
    // A small batch that would be late is the rest of a large one that did not fit. It is published
    // as soon as it fits.
    return channel.backlogLines() <= maxBacklogLines * backlogShare
        || ((many || late) && channel.fits(costLines, PRIORITY));
  }

  private boolean publishOne(long server) {
    return surge.isActive() ? removeFromTables(server) : eject(server);
  }

  /**
   * Removes the server from the published tables, instead of an ejection, during a join surge.
   * Joining proxies are bound before they need ejections.
   */
  private boolean removeFromTables(long server) {
    fleet
        .tables()
        .all()
        .forEach(
            (number, table) -> {
              if (table.lists(server) && channel.reserve(table.subscribers, 1, PRIORITY)) {
                weights.setWeight(number, table, server, 0);
              }
            });
    return !fleet.tables().isPublished(server);
  }

  private boolean eject(long server) {
    List<Integer> recipients =
        fleet.proxies().byId().keySet().stream()
            .filter(id -> mayUse(fleet.proxies().get(id), server))
            .toList();
    boolean fits = channel.reserve(recipients, 1, PRIORITY);
    if (fits) {
      commands.eject(server);
    }
    return fits;
  }

  private boolean mayUse(ProxyState proxy, long server) {
    return !proxy.subscribed || fleet.tables().get(proxy.table).lists(server);
  }
}
