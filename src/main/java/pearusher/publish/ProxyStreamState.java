package pearusher.publish;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import pearusher.recovery.CatchUp;

/**
 * What one proxy's stream follows, what it was told of servers that are out or back, and the marks
 * to which it owes answers. Only the decision thread uses it. It grows with the servers that it was
 * told of, and with the marks up to {@link #MOST_MARKS}.
 */
final class ProxyStreamState {
  /** No table of ours covers a class. */
  static final int UNBOUND = -1;

  /** Marks kept of a proxy that answers none. */
  private static final int MOST_MARKS = 1000;

  /** A mark that was ordered and is not answered yet. */
  private record OutstandingMark(int number, long orderedUs) {
    boolean canBeAnsweredBy(int answered, long tookUs, long nowUs) {
      return number == answered && tookUs <= nowUs - orderedUs;
    }
  }

  /** By class: the table bound, and whether that was this turn. */
  final int[] table;

  final boolean[] whole;

  /** Servers that this stream was told are out (true) or back; no entry: not known. */
  final Map<Long, Boolean> announced = new TreeMap<>();

  /** Only servers doubted at all may be shut out there: the module is sure of the others. */
  boolean sure;

  /** Bound this turn by what it lacks of its table, not by the whole of it. */
  CatchUp lacks;

  /** And which servers it must be told are out (true) or back. */
  Map<Long, Boolean> lacksEjections = Map.of();

  /** Classes told the levels for all, as long as no table of ours covers them. */
  int announcedForAll;

  private final ArrayDeque<OutstandingMark> marks = new ArrayDeque<>();

  ProxyStreamState(int classes) {
    table = new int[classes];
    Arrays.fill(table, UNBOUND);
    whole = new boolean[classes];
  }

  /** Binds a class to a table, which goes to the proxy whole. */
  void bind(int grade, int number) {
    table[grade] = number;
    whole[grade] = true;
  }

  /** Binds all classes to a table that the proxy holds but for what it lacks. */
  void adopt(CatchUp rejoin, Map<Long, Boolean> ejections) {
    lacksEjections = ejections;
    Arrays.fill(table, rejoin.table());
    lacks = rejoin;
  }

  /** Whether no table of ours covers some class. */
  boolean isUnbound() {
    return Arrays.stream(table).anyMatch(t -> t == UNBOUND);
  }

  /** Whether some class follows a table. */
  boolean follows(int number) {
    return Arrays.stream(table).anyMatch(t -> t == number);
  }

  /** Whether it was bound this turn, in either way. */
  boolean isBoundAnew() {
    if (lacks != null) {
      return true;
    }
    for (boolean anew : whole) {
      if (anew) {
        return true;
      }
    }
    return false;
  }

  /** A message with this mark goes to it. */
  void owe(int mark, long nowUs) {
    marks.add(new OutstandingMark(mark, nowUs));
    if (marks.size() > MOST_MARKS) {
      marks.poll();
    }
  }

  /** Takes an answer to a mark and all before it; false where that mark can't be answered so. */
  boolean answer(long nowUs, int number, long tookUs) {
    if (marks.stream().noneMatch(mark -> mark.canBeAnsweredBy(number, tookUs, nowUs))) {
      return false;
    }
    while (marks.poll().number() != number) {
      // Marks before this one are settled with it.
    }
    return true;
  }

  void endTurn() {
    Arrays.fill(whole, false);
    lacks = null;
    lacksEjections = Map.of();
  }

  /** What is kept: itself, the servers that it was told of, and marks. */
  int size() {
    return 1 + announced.size() + marks.size();
  }
}
