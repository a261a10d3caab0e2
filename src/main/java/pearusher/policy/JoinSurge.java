package pearusher.policy;

import java.util.List;

/**
 * Detector of join surges. In a join surge so many proxies join with old tables that complete new
 * tables can't reach all of them before the drain grace period of the oldest one ends. Each joining
 * proxy is then bound to a subset of the fleet first, so that it does not use an old table with
 * drained servers for long. The surge ends when all proxies are bound.
 */
final class JoinSurge {
  /** Share of the lines of a drain grace period that binds of all proxies to subsets use. */
  private static final double SUBSET_BINDS_DRAIN_GRACE_SHARE = 0.5;

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

  /** Detects the start and the end of a surge, and creates and removes the subsets. */
  void update(long nowUs) {
    fleet.scope().removeNotServing();
    List<Integer> joiners =
        fleet
            .proxies()
            .oldestFirst(
                proxy ->
                    !proxy.bound
                        && hold.isReleased()
                        && (proxy.joinedWithTables || subsets.isInUse()));
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
        channel.limits().drainGraceLines() - channel.limits().nominalLines(oldestWaitUs);
    return channel.backlogLines() + completeBindLines(joiners)
        > ChannelLimits.TIMELY_DRAIN_GRACE_SHARE * remainingLines;
  }

  /** Returns the channel lines of binds of all joining proxies to complete tables. */
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
   * Returns the number of subsets. Subsets are so small that binds of all proxies at once use half
   * of the lines of a drain grace period; the rest is for ejections. Subsets smaller than half of a
   * message's overhead would save little.
   */
  private int subsetCount() {
    double overheadLines = settings.channel().messageOverheadLines();
    double linesPerBind =
        SUBSET_BINDS_DRAIN_GRACE_SHARE * channel.limits().drainGraceLines() / settings.proxies();
    double serversPerBind = channel.limits().linesForServers(linesPerBind);
    double subsetSize = Math.max(overheadLines / 2, serversPerBind / 2);
    return (int) Math.ceil(fleet.scope().servers().size() / subsetSize);
  }

  private boolean noProxyUsesSubsets() {
    return fleet.proxies().all().stream()
        .noneMatch(proxy -> fleet.tables().isSubsetTable(proxy.table));
  }
}
