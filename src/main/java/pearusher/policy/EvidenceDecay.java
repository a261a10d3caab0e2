package pearusher.policy;

/** How evidence loses weight with its age. */
final class EvidenceDecay {
  /** Half-life of evidence: reports lag by a period or more, and a period holds few attempts. */
  private static final double HALF_LIFE_PERIODS = 6.0;

  private EvidenceDecay() {}

  /** The weight that is left after a time, from 1 to 0. */
  static double factor(double elapsedUs, long controlPeriodUs) {
    return Math.pow(0.5, elapsedUs / (HALF_LIFE_PERIODS * controlPeriodUs));
  }
}
