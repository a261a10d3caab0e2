package pearusher.policy;

/**
 * Decides when a control period is due: with the reports of the period, or late without them. It
 * also holds whether tables must be recomputed before that.
 */
final class ControlClock {
  /** Shares of a period: the least wait when reports came, and the most when none came. */
  private static final double MIN_WAIT_PERIODS = 0.8;

  private static final double MAX_WAIT_PERIODS = 1.3;

  private final long periodUs;
  private final PolicyCommands commands;

  private boolean started;
  private long startedUs;
  private long lastPeriodUs;

  /** When the valid timer fires: timers can't be cancelled, earlier ones are ignored. */
  private long timerDueUs;

  private boolean timerFired;
  private boolean reportsPending;
  private boolean periodHasReports;
  private int periodsWithReports;
  private boolean recomputeRequested;

  ControlClock(long periodUs, PolicyCommands commands) {
    this.periodUs = periodUs;
    this.commands = commands;
  }

  void start(long nowUs) {
    started = true;
    startedUs = nowUs;
    lastPeriodUs = nowUs;
  }

  boolean isStarted() {
    return started;
  }

  long startedUs() {
    return startedUs;
  }

  long lastPeriodUs() {
    return lastPeriodUs;
  }

  /** Whether load reports arrived in the last period; false while a table is recomputed early. */
  boolean periodHasReports() {
    return periodHasReports;
  }

  int periodsWithReports() {
    return periodsWithReports;
  }

  void onTimer(long nowUs) {
    timerFired |= nowUs >= timerDueUs;
  }

  void onLoadReport() {
    reportsPending = true;
  }

  /** Whether a period is due now; where the reports are late it waits for them a little longer. */
  boolean isPeriodDue(long nowUs) {
    long elapsedUs = nowUs - lastPeriodUs;
    boolean reportsArrived = reportsPending && elapsedUs >= MIN_WAIT_PERIODS * periodUs;
    if (!timerFired && !reportsArrived) {
      return false;
    }
    if (reportsPending || elapsedUs >= MAX_WAIT_PERIODS * periodUs) {
      return true;
    }
    schedule(nowUs, (long) (MAX_WAIT_PERIODS * periodUs) - elapsedUs);
    return false;
  }

  /**
   * Begins a control period.
   *
   * @return the time since the last one, in microseconds
   */
  long beginPeriod(long nowUs) {
    schedule(nowUs, periodUs);
    long elapsedUs = nowUs - lastPeriodUs;
    lastPeriodUs = nowUs;
    periodHasReports = reportsPending;
    reportsPending = false;
    periodsWithReports += periodHasReports ? 1 : 0;
    return elapsedUs;
  }

  private void schedule(long nowUs, long delayUs) {
    timerFired = false;
    timerDueUs = nowUs + delayUs;
    commands.setTimer(delayUs, PolicyTimer.CONTROL_PERIOD.token);
  }

  void requestRecompute() {
    recomputeRequested = true;
  }

  boolean isRecomputeRequested() {
    return recomputeRequested;
  }

  void clearRecomputeRequest() {
    recomputeRequested = false;
  }

  /** Begins a recomputation between periods, which has no reports of its own. */
  void beginEarlyRecompute() {
    periodHasReports = false;
  }
}
