package pearusher.intake;

/** What reports that follow one another share: who sends them, and what they are of. */
record ReportSource(int origin, QueuedReport.Subject about) {
  static ReportSource of(QueuedReport item) {
    return new ReportSource(item.origin(), item.subject());
  }

  // Written out here and in Item: a record's own goes by method handles, and this is asked for each
  // line.

  @Override
  public int hashCode() {
    return 31 * origin + about.hashCode();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ReportSource s && s.origin == origin && s.about.equals(about);
  }
}
