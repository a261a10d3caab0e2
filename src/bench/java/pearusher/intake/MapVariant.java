package pearusher.intake;

import java.util.HashMap;
import java.util.Map;

/** A map that merges the reports about a subject, as the baseline for merging. */
final class MapVariant implements ReportBuffer {
  private final Map<QueuedReport.Subject, ReportTotals> totalsBySubject = new HashMap<>();
  private long deliveredAttempts;

  @Override
  public String name() {
    return "map";
  }

  @Override
  public void offer(QueuedReport report) {
    totalsBySubject.merge(report.subject(), report.totals(), ReportTotals::plus);
  }

  @Override
  public void drain(long nowUs) {
    totalsBySubject.values().forEach(totals -> deliveredAttempts += totals.attempts());
    totalsBySubject.clear();
  }

  @Override
  public long deliveredAttempts() {
    return deliveredAttempts;
  }
}
