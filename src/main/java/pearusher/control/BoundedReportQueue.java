package pearusher.control;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Bounds the reports among the events of the loop: those beyond the capacity are dropped and
 * counted, so that a flood of them cannot exhaust the memory. Any thread may add one. It holds
 * counters only.
 */
final class BoundedReportQueue {
  /** Most reports that wait. */
  static final int CAPACITY = 20_000;

  /**
   * Dropping counts as over once no more than this many wait: at the capacity itself it would begin
   * and end with each report.
   */
  private static final int RECOVERED_SIZE = CAPACITY / 2;

  private final EventLoop loop;
  private final AtomicInteger size = new AtomicInteger();
  private final AtomicLong dropped = new AtomicLong();
  private final AtomicBoolean isDropping = new AtomicBoolean();

  BoundedReportQueue(EventLoop loop) {
    this.loop = loop;
  }

  /** Adds a report as an event of the loop, or drops it. */
  void add(Runnable report) {
    if (size.incrementAndGet() > CAPACITY) {
      size.decrementAndGet();
      onDropped();
      return;
    }
    loop.add(
        () -> {
          onTaken();
          report.run();
        });
  }

  private void onDropped() {
    dropped.incrementAndGet();
    if (isDropping.compareAndSet(false, true)) {
      Logger.warn("reports dropped: {} wait, more are dropped from here on", CAPACITY);
    }
  }

  private void onTaken() {
    if (size.decrementAndGet() <= RECOVERED_SIZE && isDropping.compareAndSet(true, false)) {
      Logger.warn("reports dropped no more: {} in all", dropped.get());
    }
  }

  /** Returns the number of reports dropped since the start. */
  long dropped() {
    return dropped.get();
  }
}
