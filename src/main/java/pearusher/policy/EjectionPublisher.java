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
    if (!surge.isActive() && isAnyTooLargeForIdleChannel()) {
      publishByTable();
    } else if (isPublicationDue(costLines, late)) {
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
    // Ejections wait until all of them fit, since each message has its overhead for every proxy. A
    // small batch that would be late is the rest of a large one: it is published as soon as it
    // fits.
    boolean fits = channel.fits(costLines, PRIORITY);
    boolean fitsNever = costLines > channel.limits().maxBacklogLines(PRIORITY);
    boolean hasDrained = channel.backlogLines() <= maxBacklogLines * backlogShare;
    return fitsNever ? hasDrained : fits && (hasDrained || many || late);
  }

  /**
   * Publishes one ejection. During a join surge the server is removed from the published tables
   * instead, since joining proxies are bound before they need ejections.
   */
  private boolean publishOne(long server) {
    return surge.isActive() ? weights.removeFromTables(server, PRIORITY) : eject(server);
  }

  private boolean isAnyTooLargeForIdleChannel() {
    // Few proxies need no count of those that may use each server.
    return !fitsIdleChannel(fleet.proxies().size())
        && ejections.anyEjection(server -> !fitsIdleChannel(recipients(server).size()));
  }

  private boolean fitsIdleChannel(int proxies) {
    return channel.limits().fitsIdleChannel(PRIORITY, proxies, 1);
  }

  /**
   * Removes the servers of all pending ejections from the published tables, one table at a time,
   * since one line to all proxies that may use a server exceeds the limit. What is left of the
   * ejections goes to proxies that are not bound to a table.
   */
  private void publishByTable() {
    fleet.tables().all().forEach(this::removeEjected);
    ejections.publishEjections(server -> !fleet.tables().isPublished(server) && eject(server));
  }

  private void removeEjected(int tableNumber, ZoneTable table) {
    int proxies = table.subscribers.size();
    List<Long> ejected =
        ejections.ejected().stream()
            .filter(table::lists)
            .limit(channel.limits().maxLinesEach(PRIORITY, proxies))
            .toList();
    if (!ejected.isEmpty() && channel.reserve(table.subscribers, ejected.size(), PRIORITY)) {
      ejected.forEach(server -> weights.setWeight(tableNumber, table, server, 0));
    }
  }

  /** Ejects a server at all proxies that may use it. */
  private boolean eject(long server) {
    boolean fits = channel.reserve(recipients(server), 1, PRIORITY);
    if (fits) {
      commands.eject(server);
    }
    return fits;
  }

  /** Returns whether a pending ejection waits for the channel to drain. */
  boolean isAnyWaitingForChannel() {
    return exceedsChannel(fleet.proxies().size())
        ? ejections.anyEjection(server -> !exceedsChannel(recipients(server).size()))
        : ejections.hasEjections();
  }

  private boolean exceedsChannel(int proxies) {
    return channel.limits().exceedsChannel(proxies, 1);
  }

  private List<Integer> recipients(long server) {
    return fleet.proxies().byId().keySet().stream()
        .filter(id -> mayUse(fleet.proxies().get(id), server))
        .toList();
  }

  private boolean mayUse(ProxyState proxy, long server) {
    return !proxy.subscribed || fleet.tables().get(proxy.table).lists(server);
  }
}
