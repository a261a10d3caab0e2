package pearusher.policy;

import java.util.List;

/**
 * Hold of binds and admission levels after a restart. Proxies keep the tables of an earlier process
 * until this process has reports of the fleet, which prevents a flood of requests after a crash
 * during an overload. As a consequence, a proxy may use an outdated table for some control periods.
 */
final class RestartHold {
  /**
   * Number of control periods with reports after which the hold ends. Reports are complete if their
   * cycle is not longer than this many control periods.
   */
  private static final int REQUIRED_PERIODS_WITH_REPORTS = 2;

  /** Longest duration of the hold, in control periods. */
  private static final double MAX_HOLD_CONTROL_PERIODS = 3;

  /** Delay until proxies under the hold get all current ejections, in drain grace periods. */
  private static final double EJECTIONS_DELAY_DRAIN_GRACES = 0.3;

  private final PolicySettings settings;
  private final PolicyCommands commands;
  private final FleetState fleet;
  private final ControlClock clock;
  private final ChannelLimits channelLimits;
  private final ReportCycle cycle;
  private final OverloadDetector overload;

  private boolean released;
  private boolean tablesRestored;

  /**
   * Time at which the first proxy with tables joined, in microseconds; 0 if no proxy waits for
   * ejections.
   */
  private long ejectionsWaitSinceUs;

  /** Requests reported during the hold. The ratio of attempts to requests is the admitted share. */
  private double requests;

  /** Attempts reported during the hold. */
  private double attempts;

  RestartHold(
      PolicySettings settings,
      PolicyCommands commands,
      FleetState fleet,
      ControlClock clock,
      ChannelLimits channelLimits,
      ReportCycle cycle,
      OverloadDetector overload) {
    this.settings = settings;
    this.commands = commands;
    this.fleet = fleet;
    this.clock = clock;
    this.channelLimits = channelLimits;
    this.cycle = cycle;
    this.overload = overload;
  }

  boolean isReleased() {
    return released;
  }

  /** Returns whether tables of an earlier process are in force. */
  boolean hasRestoredTables() {
    return tablesRestored;
  }

  void onTableRestored() {
    tablesRestored = true;
  }

  void onProxyJoined(long nowUs, ProxyState proxy) {
    if (proxy.joinedWithTables && ejectionsWaitSinceUs == 0 && !released) {
      ejectionsWaitSinceUs = nowUs;
      commands.setTimer((long) ejectionsDelayUs(), PolicyTimer.PUBLISH.token);
    }
  }

  private double ejectionsDelayUs() {
    return EJECTIONS_DELAY_DRAIN_GRACES * settings.limits().drainGraceUs();
  }

  void onAttempts(long count) {
    attempts += released ? 0 : count;
  }

  void onRequests(long count) {
    requests += released ? 0 : count;
  }

  /** Releases the hold when its time has passed, and restores the share that proxies admit. */
  void update(long nowUs) {
    boolean anyProxyHeld = fleet.proxies().all().stream().anyMatch(proxy -> proxy.joinedWithTables);
    if (released || (anyProxyHeld && mustWait(nowUs))) {
      return;
    }
    released = clock.periodsWithReports() > 0 || anyProxyHeld;
    boolean reportsComplete =
        cycle.durationUs() <= REQUIRED_PERIODS_WITH_REPORTS * settings.controlPeriodUs();
    if (anyProxyHeld && requests > 0 && reportsComplete) {
      overload.restoreAdmittedShare(attempts / requests);
    }
  }

  private boolean mustWait(long nowUs) {
    return clock.periodsWithReports() < REQUIRED_PERIODS_WITH_REPORTS
        && nowUs - clock.startedUs() < MAX_HOLD_CONTROL_PERIODS * settings.controlPeriodUs();
  }

  /**
   * Queues ejections for the proxies under the hold: new ejections at once, and all current
   * ejections after a delay. If these would delay the subsequent binds too long, the hold is
   * released instead.
   */
  void forwardEjections(long nowUs, EjectionQueue ejections) {
    if (ejectionsWaitSinceUs <= 0 || released) {
      return;
    }
    boolean allDue = nowUs - ejectionsWaitSinceUs >= ejectionsDelayUs();
    List<Long> ejected =
        fleet.servers().all().stream()
            .filter(server -> server.ejected)
            .map(server -> server.id)
            .filter(id -> allDue || ejections.isEjectionPending(id))
            .toList();
    int unbound = fleet.proxies().oldestFirst(proxy -> !proxy.bound).size();
    released =
        unbound * channelLimits.messageLines(ejected.size())
            > channelLimits.maxBacklogLines(ChannelPriority.DEFERRABLE);
    if (!released) {
      ejections.requeueEjections(ejected);
    }
    if (allDue) {
      ejectionsWaitSinceUs = 0;
    }
  }
}
