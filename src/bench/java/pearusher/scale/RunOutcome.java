package pearusher.scale;

/**
 * The result of a run.
 *
 * @param limit the limit that the run reached; null if the run is complete
 */
record RunOutcome(Report report, String limit) {
  boolean isComplete() {
    return limit == null;
  }
}
