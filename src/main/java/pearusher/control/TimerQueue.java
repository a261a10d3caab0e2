package pearusher.control;

import java.util.PriorityQueue;

/**
 * The module's timers, by the time at which they are due; those of one instant in the order in
 * which they were set. Only the decision thread uses it. It grows with the timers that are set and
 * not yet due.
 */
final class TimerQueue {
  private record Timer(long dueUs, long order, long token) {}

  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          (a, b) ->
              a.dueUs() != b.dueUs()
                  ? Long.compare(a.dueUs(), b.dueUs())
                  : Long.compare(a.order(), b.order()));
  private long made;

  void add(long dueUs, long token) {
    timers.add(new Timer(dueUs, made++, token));
  }

  boolean isEmpty() {
    return timers.isEmpty();
  }

  int size() {
    return timers.size();
  }

  /** When the next timer is due; there must be one. */
  long nextDueUs() {
    return timers.peek().dueUs();
  }

  boolean isDue(long nowUs) {
    return !timers.isEmpty() && timers.peek().dueUs() <= nowUs;
  }

  /** Removes the next timer and returns its token; there must be one. */
  long poll() {
    return timers.poll().token();
  }
}
