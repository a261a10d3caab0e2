package pearusher.intake;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Queued reports of one origin, summed by subject. Its size is proportional to the number of
 * subjects that the origin reports about.
 */
final class OriginQueue {
  private final Map<QueuedReport.Subject, ReportTotals> totals = new LinkedHashMap<>();

  /**
   * Deficit counter of the round robin: the number of reports that may be dequeued in the current
   * turn.
   */
  private long deficit;

  /** Returns the queued totals by subject, oldest subject first; the caller may modify the map. */
  Map<QueuedReport.Subject, ReportTotals> totals() {
    return totals;
  }

  int size() {
    return totals.size();
  }

  boolean isEmpty() {
    return totals.isEmpty();
  }

  /** Starts a turn with a quantum of one report, which is the same for every origin. */
  void startTurn() {
    deficit++;
  }

  /** Returns whether a report is queued and may be dequeued in the current turn. */
  boolean canDequeue() {
    return deficit >= 1 && !totals.isEmpty();
  }

  /**
   * Removes and returns the oldest report.
   *
   * @param origin the origin of this queue, which the returned report names
   * @throws java.util.NoSuchElementException if the queue is empty
   */
  QueuedReport removeOldest(int origin) {
    QueuedReport.Subject oldest = totals.keySet().iterator().next();
    deficit--;
    return new QueuedReport(origin, oldest, totals.remove(oldest));
  }
}
