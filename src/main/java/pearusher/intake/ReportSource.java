package pearusher.intake;

/** Origin and subject, which identify a sequence of reports that cover consecutive spans. */
record ReportSource(int origin, QueuedReport.Subject subject) {
  static ReportSource of(QueuedReport report) {
    return new ReportSource(report.origin(), report.subject());
  }

  // hashCode and equals are written out because the generated ones are slower: this record is a
  // hash map key that is looked up for each report.

  @Override
  public int hashCode() {
    return 31 * origin + subject.hashCode();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ReportSource that
        && that.origin == origin
        && that.subject.equals(subject);
  }
}
