package pearusher.policy;

/** Exponential decay of reported attempts by their age. */
final class EvidenceDecay {
  /**
   * Half-life of reported attempts, in control periods. It spans several periods because reports
   * lag by one period or more and a single period has few attempts.
   */
  private static final double HALF_LIFE_PERIODS = 6.0;

  private EvidenceDecay() {}

  /**
   * Returns the remaining weight of attempts after a time in microseconds, from 1 for none to 0.
   */
  static double factor(double elapsedUs, long controlPeriodUs) {
    return Math.pow(0.5, elapsedUs / (HALF_LIFE_PERIODS * controlPeriodUs));
  }
}
