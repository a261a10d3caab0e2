package pearusher.intake;

/** A buffer between the arrival of reports and their delivery, under measurement. */
interface ReportBuffer {
  /** The name of the variant in figures. */
  String name();

  void offer(QueuedReport report);

  /** Delivers the buffered reports. */
  void drain(long nowUs);

  /** The attempts of all reports delivered so far; keeps the delivery from being optimised away. */
  long deliveredAttempts();
}
