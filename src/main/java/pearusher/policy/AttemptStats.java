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

  void add(AttemptStats other) {
    succeeded += other.succeeded;
    totalTimeUs += other.totalTimeUs;
    failed += other.failed;
  }
}
