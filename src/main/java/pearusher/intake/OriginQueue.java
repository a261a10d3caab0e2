package pearusher.intake;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The reports of one origin that wait, those about the same subject added up. It grows with the
 * subjects that the origin reports about.
 */
final class OriginQueue {
  private final Map<QueuedReport.Subject, ReportTotals> totals = new LinkedHashMap<>();

  /** How many reports may be taken in the current turn: the deficit counter of the round robin. */
  private long deficit;

  /** Waiting totals by subject, the oldest subject first. */
  Map<QueuedReport.Subject, ReportTotals> totals() {
    return totals;
  }

  int size() {
    return totals.size();
  }

  boolean isEmpty() {
    return totals.isEmpty();
  }

  /** Starts a turn, with a quantum of one report: no origin's turn is longer than another's. */
  void startTurn() {
    deficit++;
  }

  /** Whether a report may be taken in the current turn. */
  boolean mayTake() {
    return deficit >= 1 && !totals.isEmpty();
  }

  /** Takes the oldest report; there must be one. */
  QueuedReport take(int origin) {
    QueuedReport.Subject oldest = totals.keySet().iterator().next();
    deficit--;
    return new QueuedReport(origin, oldest, totals.remove(oldest));
  }
}
