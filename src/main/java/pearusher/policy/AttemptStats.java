package pearusher.policy;

/** Attempts counted by their outcome; the counts decay with the time that they cover. */
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
   * @param weight factor of the counts, from 0 to 1
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
