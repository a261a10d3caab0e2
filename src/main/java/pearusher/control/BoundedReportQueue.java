package pearusher.control;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Bounds the reports among the events that wait: those beyond {@link #MOST_REPORTS} are dropped and
 * counted, so that a flood can't fill the memory. Any thread may add one. It holds counters only.
 */
final class BoundedReportQueue {
  /** Reports that may wait; more are dropped and counted. */
  static final int MOST_REPORTS = 20_000;

  private final EventLoop loop;
  private final AtomicInteger reports = new AtomicInteger();
  private final AtomicLong dropped = new AtomicLong();
  private final AtomicBoolean flooded = new AtomicBoolean();

  BoundedReportQueue(EventLoop loop) {
    this.loop = loop;
  }

  /** Queues a report as an event, or drops it. */
  void add(Runnable what) {
    if (reports.incrementAndGet() > MOST_REPORTS) {
      reports.decrementAndGet();
      dropped.incrementAndGet();
      if (flooded.compareAndSet(false, true)) {
        Logger.warn("reports dropped: {} wait, more are dropped from here on", MOST_REPORTS);
      }
      return;
    }
    loop.add(
        () -> {
          // Over once half of them are through: at the brim it would begin and end with each
          // report.
          if (reports.decrementAndGet() <= MOST_REPORTS / 2 && flooded.compareAndSet(true, false)) {
            Logger.warn("reports dropped no more: {} in all", dropped.get());
          }
          what.run();
        });
  }

  /** Reports dropped since the start. */
  long dropped() {
    return dropped.get();
  }
}
