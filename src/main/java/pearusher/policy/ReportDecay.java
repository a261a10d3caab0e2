package pearusher.policy;

/** Exponential decay of reported attempts and requests by their age. */
final class ReportDecay {
  /**
   * Half-life of reported attempts and requests, in control periods. It spans several periods
   * because reports lag by one period or more and a single period has few attempts.
   */
  private static final double HALF_LIFE_PERIODS = 6.0;

  private ReportDecay() {}

  /**
   * Returns the remaining weight of attempts or requests after a time in microseconds, from 1 at
   * time 0 to 0.
   */
  static double factor(double elapsedUs, long controlPeriodUs) {
    return StrictMath.pow(0.5, elapsedUs / (HALF_LIFE_PERIODS * controlPeriodUs));
  }
}
