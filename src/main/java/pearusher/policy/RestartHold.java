package pearusher.policy;

import java.util.List;

/**
 * Holds back binds and levels after a restart: proxies with tables of an earlier process keep them
 * until this one has reports of the fleet, which guards against a flood after a crash in an
 * overload. A proxy may keep an outdated table for some periods.
 */
final class RestartHold {
  /** The hold ends after so many periods with reports, or so many periods at most. */
  private static final int PERIODS_WITH_REPORTS = 2;

  private static final double MAX_PERIODS = 3;

  /** Drain graces until proxies that are held get all current ejections. */
  private static final double EJECTIONS_AFTER_GRACES = 0.3;

  private final PolicySettings settings;
  private final PolicyCommands commands;
  private final FleetState fleet;
  private final ControlClock clock;
  private final ChannelLimits channelLimits;
  private final ReportCycle cycle;
  private final OverloadDetector overload;

  private boolean released;
  private boolean tablesRestored;

  /** When the first proxy with tables joined; 0: none waits for ejections. */
  private long ejectionsWaitSinceUs;

  /** Requests and attempts reported during the hold: their ratio is the admitted share. */
  private double requests;

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

  /** Whether tables of an earlier process are in force. */
  boolean hasRestoredTables() {
    return tablesRestored;
  }

  void onTableRestored() {
    tablesRestored = true;
  }

  void onProxyJoined(long nowUs, ProxyState proxy) {
    if (proxy.holdsTables && ejectionsWaitSinceUs == 0 && !released) {
      ejectionsWaitSinceUs = nowUs;
      commands.setTimer((long) ejectionsDelayUs(), PolicyTimer.PUBLISH.token);
    }
  }

  private double ejectionsDelayUs() {
    return EJECTIONS_AFTER_GRACES * settings.limits().drainGraceUs();
  }

  void onAttempts(long count) {
    attempts += released ? 0 : count;
  }

  void onRequests(long count) {
    requests += released ? 0 : count;
  }

  /** Releases the hold when its time is over, and restores the share that proxies admit. */
  void update(long nowUs) {
    boolean anyHeld = fleet.proxies().all().stream().anyMatch(proxy -> proxy.holdsTables);
    if (released || (anyHeld && mustWait(nowUs))) {
      return;
    }
    released = clock.periodsWithReports() > 0 || anyHeld;
    boolean reportsComplete =
        cycle.durationUs() <= PERIODS_WITH_REPORTS * settings.controlPeriodUs();
    if (anyHeld && requests > 0 && reportsComplete) {
      overload.restoreAdmittedShare(attempts / requests);
    }
  }

  private boolean mustWait(long nowUs) {
    return clock.periodsWithReports() < PERIODS_WITH_REPORTS
        && nowUs - clock.startedUs() < MAX_PERIODS * settings.controlPeriodUs();
  }

  /**
   * Queues ejections for the proxies that are held: new ones at once, and all of them after a
   * while. Where these would delay the binds behind them too long, the hold is released instead.
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
            > channelLimits.maxWaitingLines(ChannelPriority.DEFERRABLE);
    if (!released) {
      ejections.requeueEjections(ejected);
    }
    if (allDue) {
      ejectionsWaitSinceUs = 0;
    }
  }
}
