package pearusher.control;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The policy's timers, ordered by due time. Timers with the same due time fire in the order in
 * which they were set. Only the event-loop thread uses it. Its size grows with the number of
 * pending timers.
 */
final class TimerQueue {
  private record Timer(long dueUs, long sequence, long token) {
    static final Comparator<Timer> BY_DUE_TIME =
        Comparator.comparingLong(Timer::dueUs).thenComparingLong(Timer::sequence);
  }

  private final PriorityQueue<Timer> timers = new PriorityQueue<>(Timer.BY_DUE_TIME);
  private long nextSequence;

  void add(long dueUs, long token) {
    timers.add(new Timer(dueUs, nextSequence++, token));
  }

  boolean isEmpty() {
    return timers.isEmpty();
  }

  int size() {
    return timers.size();
  }

  /**
   * Returns the due time of the next timer, in microseconds.
   *
   * @throws java.util.NoSuchElementException if the queue is empty
   */
  long nextDueUs() {
    return timers.element().dueUs();
  }

  boolean isDue(long nowUs) {
    return !timers.isEmpty() && nextDueUs() <= nowUs;
  }

  /**
   * Removes the next timer and returns its token.
   *
   * @throws java.util.NoSuchElementException if the queue is empty
   */
  long remove() {
    return timers.remove().token();
  }
}
