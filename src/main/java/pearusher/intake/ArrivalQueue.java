package pearusher.intake;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * FIFO queue of reports. It also sums the spans of the queued reports of each source, from which
 * the age of a report ahead of them is estimated. Its size is proportional to the number of queued
 * reports.
 */
final class ArrivalQueue {
  private final ArrayDeque<QueuedReport> reports = new ArrayDeque<>();

  /** Sum of the spans of the queued reports in microseconds, by source. */
  private final Map<ReportSource, Long> queuedSpansUs = new HashMap<>();

  void add(QueuedReport report) {
    reports.add(report);
    queuedSpansUs.merge(ReportSource.of(report), report.totals().spanUs(), Long::sum);
  }

  /**
   * Removes and returns the oldest report.
   *
   * @throws java.util.NoSuchElementException if the queue is empty
   */
  QueuedReport removeOldest() {
    QueuedReport report = reports.remove();
    ReportSource source = ReportSource.of(report);
    long remainingUs = queuedSpansUs.merge(source, -report.totals().spanUs(), Long::sum);
    if (remainingUs <= 0) {
      queuedSpansUs.remove(source);
    }
    return report;
  }

  /** Returns the sum in microseconds of the spans of the queued reports of a report's source. */
  long queuedSpanUs(QueuedReport report) {
    return queuedSpansUs.getOrDefault(ReportSource.of(report), 0L);
  }

  /** Returns the queued reports, oldest first. */
  Collection<QueuedReport> reports() {
    return reports;
  }

  int size() {
    return reports.size();
  }

  boolean isEmpty() {
    return reports.isEmpty();
  }

  void clear() {
    reports.clear();
    queuedSpansUs.clear();
  }
}
