package pearusher.policy;

/**
 * Schedules control periods. A period is due once reports have arrived and most of its nominal
 * length has passed, or after a maximum wait without reports. Also records whether tables must be
 * recomputed before the next period.
 */
final class ControlClock {
  /** Minimum length of a period with reports, in nominal periods. */
  private static final double MIN_WAIT_PERIODS = 0.8;

  /** Maximum length of a period without reports, in nominal periods. */
  private static final double MAX_WAIT_PERIODS = 1.3;

  private final long periodUs;
  private final PolicyCommands commands;

  private boolean started;
  private long startedUs;
  private long lastPeriodUs;

  /**
   * Expiry time of the current timer. Timers can't be cancelled, so timers that fire earlier are
   * ignored.
   */
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

  /**
   * Returns whether load reports arrived in the last control period; false during a recomputation
   * between periods.
   */
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

  /**
   * Returns whether a control period is due. If the timer has fired but no reports have arrived,
   * extends the wait for them to the maximum.
   */
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
   * @return time since the previous period began, in microseconds
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

  /** Begins a recomputation between periods, to which no reports belong. */
  void beginEarlyRecompute() {
    periodHasReports = false;
  }
}
