package pearusher.logging;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;

/**
 * Counter of a kind of event that limits its log lines: only occurrences 1, 2, 4, 8 and so on are
 * logged, so that a peer that repeats an error can't flood the log. Thread-safe; its size is
 * constant.
 */
public final class RepeatedEvent {
  private final AtomicLong occurrences = new AtomicLong();

  /**
   * Counts an occurrence, and logs it if the number of occurrences is a power of two.
   *
   * @param logger called with the number of occurrences so far, at most once
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
