package pearusher.recovery;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * The marks that proxies have not answered yet, with the turns that sent them. It grows with the
 * proxies that are joined and the marks that each owes, up to {@link #MOST_MARKS}.
 */
final class OutstandingAcks {
  /** Marks that a proxy may owe. */
  private static final int MOST_MARKS = 1000;

  /** What {@link #answer} says where a mark was not sent. */
  static final long NOT_SENT = -1;

  private record Mark(int number, long turn) {}

  private final Map<Integer, ArrayDeque<Mark>> owed = new HashMap<>();

  /** A mark was sent to a proxy in a turn. */
  void add(int proxy, int number, long turn) {
    ArrayDeque<Mark> marks = owed.computeIfAbsent(proxy, p -> new ArrayDeque<>());
    marks.add(new Mark(number, turn));
    if (marks.size() > MOST_MARKS) {
      marks.poll();
    }
  }

  /**
   * A proxy has answered a mark, and all before it: the turn that sent it, or {@link #NOT_SENT}.
   */
  long answer(int proxy, int number) {
    ArrayDeque<Mark> marks = owed.get(proxy);
    if (marks == null || marks.stream().noneMatch(mark -> mark.number() == number)) {
      return NOT_SENT;
    }
    Mark last;
    do {
      last = marks.poll();
    } while (last.number() != number);
    return last.turn();
  }

  void forget(int proxy) {
    owed.remove(proxy);
  }
}
