package pearusher.intake;

import java.util.ArrayDeque;

/** A plain queue, as the baseline for delivering each report separately. */
final class QueueVariant implements ReportBuffer {
  private final ArrayDeque<QueuedReport> queue = new ArrayDeque<>();
  private long deliveredAttempts;

  @Override
  public String name() {
    return "queue";
  }

  @Override
  public void offer(QueuedReport report) {
    queue.add(report);
  }

  @Override
  public void drain(long nowUs) {
    queue.forEach(report -> deliveredAttempts += report.totals().attempts());
    queue.clear();
  }

  @Override
  public long deliveredAttempts() {
    return deliveredAttempts;
  }
}
