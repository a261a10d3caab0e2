package pearusher.policy;

import java.util.List;

/**
 * Detects a join surge: so many proxies join with old tables that complete new ones can't reach all
 * before the grace of the oldest ends. Each is then bound to a subset of the fleet first, which
 * guards against old tables that name drained servers for long. The surge ends when all are bound.
 */
final class JoinSurge {
  /** Share of the lines within the grace that binds of all proxies to subsets take. */
  private static final double BINDS_GRACE_SHARE = 0.5;

  private final PolicySettings settings;
  private final FleetState fleet;
  private final ChannelBudget channel;
  private final RestartHold hold;
  private final SubsetAssignment subsets;
  private boolean active;

  JoinSurge(
      PolicySettings settings,
      FleetState fleet,
      ChannelBudget channel,
      RestartHold hold,
      SubsetAssignment subsets) {
    this.settings = settings;
    this.fleet = fleet;
    this.channel = channel;
    this.hold = hold;
    this.subsets = subsets;
  }

  boolean isActive() {
    return active;
  }

  /** Detects the begin and the end of a surge, and creates and removes the subsets. */
  void update(long nowUs) {
    fleet.scope().removeNotServing();
    List<Integer> joiners =
        fleet
            .proxies()
            .oldestFirst(
                proxy ->
                    !proxy.bound && hold.isReleased() && (proxy.holdsTables || subsets.isInUse()));
    active = !joiners.isEmpty() && (active || arriveTooLate(nowUs, joiners));
    if (active && !subsets.isInUse() && !fleet.scope().servers().isEmpty()) {
      subsets.create(subsetCount());
    } else if (subsets.isInUse() && !active && noProxyUsesSubsets()) {
      subsets.clear();
    }
  }

  private boolean arriveTooLate(long nowUs, List<Integer> joiners) {
    long oldestWaitUs = nowUs - fleet.proxies().get(joiners.get(0)).joinedUs;
    double remainingLines =
        channel.limits().graceLines() - channel.limits().nominalLines(oldestWaitUs);
    return channel.backlogLines() + completeBindLines(joiners)
        > ChannelLimits.TIMELY_GRACE_SHARE * remainingLines;
  }

  /** Lines of binds to complete tables for all joiners. */
  private double completeBindLines(List<Integer> joiners) {
    List<Server> servers = fleet.scope().servers();
    double atRiskForAll =
        servers.stream()
            .filter(server -> server.staleEjectionRisk == StaleEjectionRisk.ALL_PROXIES)
            .count();
    double atRisk =
        servers.stream()
            .filter(server -> server.staleEjectionRisk != StaleEjectionRisk.NONE)
            .count();
    double reinstatements =
        joiners.stream()
            .mapToDouble(id -> fleet.proxies().get(id).confirmed ? atRiskForAll : atRisk)
            .sum();
    double linesPerBind =
        settings.channel().messageOverheadLines() + ChannelLimits.FIXED_BIND_LINES + servers.size();
    return reinstatements + joiners.size() * linesPerBind;
  }

  /**
   * Subsets are so small that binds of all proxies at once take half of what arrives in time; the
   * rest is for ejections. Smaller than half a message's overhead saves little.
   */
  private int subsetCount() {
    double overheadLines = settings.channel().messageOverheadLines();
    double linesPerBind = BINDS_GRACE_SHARE * channel.limits().graceLines() / settings.proxies();
    double serversPerBind = channel.limits().linesForServers(linesPerBind);
    double subsetSize = Math.max(overheadLines / 2, serversPerBind / 2);
    return (int) Math.ceil(fleet.scope().servers().size() / subsetSize);
  }

  private boolean noProxyUsesSubsets() {
    return fleet.proxies().all().stream()
        .noneMatch(proxy -> fleet.tables().isSubsetTable(proxy.table));
  }
}
