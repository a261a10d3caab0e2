package pearusher.scale;

/**
 * The figures of a run.
 *
 * @param limit the limit that the run met; null if it is complete
 */
record RunOutcome(Report report, String limit) {
  boolean isComplete() {
    return limit == null;
  }
}
