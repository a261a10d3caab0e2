package pearusher.intake;

/** A measured buffer between the arrival of reports and their delivery. */
interface ReportBuffer {
  /** Returns the name of the variant in figures. */
  String name();

  void offer(QueuedReport report);

  /** Delivers the buffered reports. */
  void drain(long nowUs);

  /**
   * Returns the attempts of all reports delivered so far. Prevents the JIT compiler from
   * eliminating the delivery.
   */
  long deliveredAttempts();
}
