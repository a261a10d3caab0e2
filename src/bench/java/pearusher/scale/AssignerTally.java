package pearusher.scale;

/**
 * Counts of the messages that simulated proxies received from one assigner. Owned by the event loop
 * of the proxies. Of constant size.
 */
final class AssignerTally {
  private long joins;
  private long streamsEnded;
  private long messages;
  private long undecodable;
  private long unexpected;
  private long completeTables;
  private long unneededTables;
  private String firstFault;

  void recordJoin() {
    joins++;
  }

  /** Records that the assigner ended a stream, which is unexpected. */
  void recordStreamEnd() {
    streamsEnded++;
  }

  void recordMessage() {
    messages++;
  }

  void recordUndecodable(String cause) {
    undecodable++;
    recordFirstFault("undecodable: " + cause);
  }

  void recordUnexpected(String cause) {
    unexpected++;
    recordFirstFault("unexpected: " + cause);
  }

  private void recordFirstFault(String fault) {
    firstFault = firstFault == null ? fault : firstFault;
  }

  void recordCompleteTable(boolean isNeeded) {
    completeTables++;
    unneededTables += isNeeded ? 0 : 1;
  }

  /** Adds the current counts to a report, with a prefix before their names. */
  void addTo(Report report, String prefix) {
    report.add(prefix + "joins", (double) joins, "1");
    report.add(prefix + "streams_ended_by_assigner", (double) streamsEnded, "1");
    report.add(prefix + "messages_to_proxies", (double) messages, "1");
    report.add(prefix + MixedRun.UNDECODABLE, (double) undecodable, "1");
    report.add(prefix + MixedRun.UNEXPECTED, (double) unexpected, "1");
    report.add(prefix + "complete_tables", (double) completeTables, "1");
    report.add(prefix + MixedRun.UNNEEDED, (double) unneededTables, "1");
    if (firstFault != null) {
      report.remark(prefix + "first_fault", firstFault);
    }
  }
}
