package pearusher.logging;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;

/**
 * Counts a kind of event and thins out its log lines: occurrence 1, 2, 4, 8 and so on is logged, so
 * that a peer that repeats a fault cannot flood the log. Thread-safe; its size is constant.
 */
public final class RepeatedEvent {
  private final AtomicLong occurrences = new AtomicLong();

  /**
   * Counts an occurrence.
   *
   * @param logger called with the number of occurrences so far, if this one is to be logged
   */
  public void record(LongConsumer logger) {
    long count = occurrences.incrementAndGet();
    if (Long.bitCount(count) == 1) {
      logger.accept(count);
    }
  }

  /** Returns the number of occurrences so far. */
  public long count() {
    return occurrences.get();
  }
}
