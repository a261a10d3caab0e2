package pearusher.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The way to the proxies as PROTOCOL counts it, apart from the module: each message's head, mark
 * and lines wait in one queue that drains at its true pace, whatever the settings state; who got
 * one answers its mark.
 */
final class ChannelModel {
  private record Sent(int proxy, int mark, long ordered) {}

  private final PolicyFixture p;
  private final double linesPerS;
  private final long lateUs;
  private final ArrayDeque<Sent> queue = new ArrayDeque<>();
  private final ArrayDeque<Double> lines = new ArrayDeque<>();
  private final List<Sent> answers = new ArrayList<>();
  private final List<Long> due = new ArrayList<>();
  private long now;
  private double waiting;
  double most;

  ChannelModel(PolicyFixture p, double linesPerS, long lateUs) {
    this.p = p;
    this.linesPerS = linesPerS;
    this.lateUs = lateUs;
    now = p.now;
    p.fleet.orders.clear();
  }

  double waiting() {
    return waiting;
  }

  /**
   * Drains the queue up to the play's time and gives the module the answers that have come since.
   */
  void answer() {
    double may = (p.now - now) / 1e6 * linesPerS;
    double left = 0;
    while (!queue.isEmpty() && lines.peek() <= may - left) {
      left += lines.poll();
      Sent sent = queue.poll();
      answers.add(sent);
      due.add(now + Math.round(left / linesPerS * 1e6) + lateUs);
    }
    if (!queue.isEmpty()) {
      lines.push(lines.poll() - (may - left));
    }
    now = p.now;
    waiting = lines.stream().mapToDouble(l -> l).sum();
    for (int i = 0; i < answers.size(); i++) {
      if (due.get(i) <= now) {
        Sent sent = answers.remove(i);
        long at = due.remove(i--);
        p.rules.onAcknowledgement(now, sent.proxy, sent.mark, at - sent.ordered);
      }
    }
  }

  /** The messages that the orders since the last call become, and their lines by proxy. */
  Map<Integer, Integer> put() {
    Map<Integer, Integer> written = written(p, Set.of());
    written.forEach(
        (proxy, count) -> {
          queue.add(new Sent(proxy, p.fleet.marks, p.now));
          lines.add((double) count);
          waiting += count;
        });
    most = Math.max(most, waiting);
    return written;
  }

  /**
   * Lines of each proxy's message that the orders since the last call become: its head and mark, a
   * whole table after a bind, with words for these servers, else what changed for it.
   */
  static Map<Integer, Integer> written(PolicyFixture p, Set<Long> doubted) {
    Map<Integer, Set<String>> changed = new TreeMap<>();
    Set<Integer> whole = new TreeSet<>();
    Set<String> out = new TreeSet<>();
    for (String order : p.fleet.orders) {
      String[] words = order.split(" ");
      switch (words[0]) {
        case "bind" -> whole.add(Integer.parseInt(words[1]));
        case "line" ->
            changed.computeIfAbsent(Integer.parseInt(words[1]), t -> new TreeSet<>()).add(words[2]);
        case "admit" ->
            changed
                .computeIfAbsent(Integer.parseInt(words[1]), t -> new TreeSet<>())
                .add("level " + words[2]);
        case "withdraw" -> out.add(words[1]);
        default -> {}
      }
    }
    p.fleet.orders.clear();
    Map<Integer, Integer> written = new TreeMap<>();
    for (int proxy : p.fleet.joined) {
      Integer table = p.fleet.bound.get(proxy);
      Map<Long, Double> holds =
          table == null ? Map.of() : p.fleet.tables.getOrDefault(table, Map.of());
      int own =
          whole.contains(proxy)
              ? 1 + holds.size() + (int) holds.keySet().stream().filter(doubted::contains).count()
              : table == null ? 0 : changed.getOrDefault(table, Set.of()).size();
      own +=
          (int)
              out.stream().filter(s -> table == null || holds.containsKey(Long.valueOf(s))).count();
      if (own > 0) {
        written.put(proxy, 11 + own);
      }
    }
    return written;
  }
}
