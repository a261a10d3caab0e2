package pearusher.control;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Bounds the number of reports among the queued events of the event loop. Reports beyond the
 * capacity are dropped and counted, so that a flood of reports cannot exhaust the memory. Any
 * thread may add a report. The reports themselves are queued in the event loop; this class stores
 * only counters.
 */
final class BoundedReportQueue {
  /** Maximum number of queued reports. */
  static final int CAPACITY = 20_000;

  /**
   * Queue size at which dropping is logged as ended. With a threshold at the capacity, the log
   * would report a start and an end for each dropped report.
   */
  private static final int DROPPING_END_SIZE = CAPACITY / 2;

  private final EventLoop loop;
  private final AtomicInteger queuedCount = new AtomicInteger();
  private final AtomicLong droppedCount = new AtomicLong();
  private final AtomicBoolean isDropping = new AtomicBoolean();

  BoundedReportQueue(EventLoop loop) {
    this.loop = loop;
  }

  /** Queues a report as an event of the loop, or drops it if the capacity is reached. */
  void add(Runnable report) {
    if (queuedCount.incrementAndGet() > CAPACITY) {
      queuedCount.decrementAndGet();
      onDropped();
      return;
    }
    loop.add(
        () -> {
          onDequeued();
          report.run();
        });
  }

  private void onDropped() {
    droppedCount.incrementAndGet();
    if (isDropping.compareAndSet(false, true)) {
      Logger.warn(
          "reports dropped: queue is full at {} reports, further reports are dropped", CAPACITY);
    }
  }

  private void onDequeued() {
    if (queuedCount.decrementAndGet() <= DROPPING_END_SIZE
        && isDropping.compareAndSet(true, false)) {
      Logger.warn("report queue recovered: {} reports dropped since the start", droppedCount.get());
    }
  }

  /** Returns the number of reports dropped since the start. */
  long droppedCount() {
    return droppedCount.get();
  }
}
