package pearusher.policy;

import java.util.List;

/**
 * Publishes ejections ahead of all else. Behind a backlog they are batched until they outweigh the
 * overhead of their messages.
 */
final class EjectionPublisher {
  /** Share of the backlog limit under which few ejections are published. */
  private static final double FEW_EJECTIONS_BACKLOG_SHARE = 0.27;

  /** The same of many ejections, which take the rest of what ejections may fill. */
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
   * Publishes the pending ejections if it is time to.
   *
   * @return whether they would arrive after the grace of the oldest
   */
  boolean publish(long nowUs) {
    double cost = cost();
    boolean late = isLate(nowUs, cost);
    if (isTimeToPublish(cost, late)) {
      ejections.publishEjections(this::publishOne);
    }
    return late;
  }

  /** Lines of all pending ejections. */
  private double cost() {
    double followerLines =
        fleet.tables().all().values().stream().mapToDouble(this::linesForFollowers).sum();
    int others =
        surge.isActive() ? 0 : fleet.proxies().oldestFirst(proxy -> !proxy.followsTable).size();
    return followerLines + channel.limits().messageLines(ejections.ejectionCount()) * others;
  }

  private double linesForFollowers(ZoneTable table) {
    long listed = ejections.countEjections(table::lists);
    return table.followers.size() * channel.limits().messageLines(listed);
  }

  private boolean isLate(long nowUs, double cost) {
    long waitUs =
        ejections.oldestEjection().stream()
            .map(id -> nowUs - fleet.servers().get(id).ejectionChangedUs)
            .findFirst()
            .orElse(0);
    return channel.backlogLines() + cost + channel.limits().nominalLines(waitUs)
        > ChannelLimits.TIMELY_GRACE_SHARE * channel.limits().graceLines();
  }

  private boolean isTimeToPublish(double cost, boolean late) {
    double maxBacklogLines = settings.channel().maxBacklogLines();
    boolean many = ejections.ejectionCount() > settings.channel().messageOverheadLines();
    boolean large =
        many && cost > (PRIORITY.backlogShare - FEW_EJECTIONS_BACKLOG_SHARE) * maxBacklogLines;
    double backlogShare = large ? MANY_EJECTIONS_BACKLOG_SHARE : FEW_EJECTIONS_BACKLOG_SHARE;
    // Few that would be late are what a full channel left of many: these are published once they
    // fit.
    return channel.backlogLines() <= maxBacklogLines * backlogShare
        || ((many || late) && channel.fits(cost, PRIORITY));
  }

  private boolean publishOne(long server) {
    return surge.isActive() ? endEntries(server) : eject(server);
  }

  /** In a join surge the server leaves the tables: joiners are bound before they need ejections. */
  private boolean endEntries(long server) {
    fleet
        .tables()
        .all()
        .forEach(
            (number, table) -> {
              if (table.lists(server) && channel.reserve(table.followers, 1, PRIORITY)) {
                weights.setWeight(number, table, server, 0);
              }
            });
    return !fleet.tables().isPublished(server);
  }

  private boolean eject(long server) {
    List<Integer> recipients =
        fleet.proxies().byId().keySet().stream()
            .filter(id -> mayKnow(fleet.proxies().get(id), server))
            .toList();
    boolean fits = channel.reserve(recipients, 1, PRIORITY);
    if (fits) {
      commands.eject(server);
    }
    return fits;
  }

  private boolean mayKnow(ProxyState proxy, long server) {
    return !proxy.followsTable || fleet.tables().get(proxy.table).lists(server);
  }
}
