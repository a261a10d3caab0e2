package pearusher.intake;

/** What consecutive reports share: the origin that sends them and the subject. */
record ReportSource(int origin, QueuedReport.Subject subject) {
  static ReportSource of(QueuedReport report) {
    return new ReportSource(report.origin(), report.subject());
  }

  // A key of a hash map for each report: written out because the generated methods are slower.

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
