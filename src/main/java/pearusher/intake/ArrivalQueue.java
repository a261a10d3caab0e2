package pearusher.intake;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Reports in the order of their arrival. It also tracks what the waiting reports of each source
 * cover, from which the age of the ones before them follows. It grows with the reports that wait.
 */
final class ArrivalQueue {
  private final ArrayDeque<QueuedReport> reports = new ArrayDeque<>();

  /** Sum of the spans of waiting reports in microseconds, by source. */
  private final Map<ReportSource, Long> waitingSpansUs = new HashMap<>();

  void add(QueuedReport report) {
    reports.add(report);
    waitingSpansUs.merge(ReportSource.of(report), report.totals().spanUs(), Long::sum);
  }

  /** Takes the oldest report, which must exist. */
  QueuedReport take() {
    QueuedReport report = reports.remove();
    ReportSource source = ReportSource.of(report);
    long leftUs = waitingSpansUs.merge(source, -report.totals().spanUs(), Long::sum);
    if (leftUs <= 0) {
      waitingSpansUs.remove(source);
    }
    return report;
  }

  /** The time in microseconds that the waiting reports of a report's source cover. */
  long waitingSpanUs(QueuedReport report) {
    return waitingSpansUs.getOrDefault(ReportSource.of(report), 0L);
  }

  /** The waiting reports, the oldest first. */
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
    waitingSpansUs.clear();
  }
}
