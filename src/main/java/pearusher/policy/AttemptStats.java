package pearusher.policy;

/**
 * Counts of attempts by outcome, and their total response time. The counts decay with time and are
 * therefore not integers.
 */
final class AttemptStats {
  double succeeded;

  /** Total response time of the successful attempts, in microseconds. */
  double totalTimeUs;

  double failed;

  double attempts() {
    return succeeded + failed;
  }

  void scale(double factor) {
    succeeded *= factor;
    totalTimeUs *= factor;
    failed *= factor;
  }

  /**
   * Adds the attempts of a report.
   *
   * @param meanUs mean response time of the successful attempts, in microseconds
   * @param weight factor applied to the counts, from 0 to 1
   */
  void add(long succeededAttempts, long failedAttempts, long meanUs, double weight) {
    succeeded += weight * succeededAttempts;
    totalTimeUs += weight * succeededAttempts * meanUs;
    failed += weight * failedAttempts;
  }

  void add(AttemptStats other) {
    succeeded += other.succeeded;
    totalTimeUs += other.totalTimeUs;
    failed += other.failed;
  }
}
