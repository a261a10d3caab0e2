package pearusher.scale;

/** Figures of a run, and which limit it met, if any. */
record RunOutcome(Report report, String limit) {
  boolean isComplete() {
    return limit == null;
  }
}
