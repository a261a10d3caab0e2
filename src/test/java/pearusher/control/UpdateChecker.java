package pearusher.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import pearusher.server.TestPeers;

/**
 * Reads the orders that proxies receive over the lives of an assigner, and says what no order may
 * be: given twice (again, after its proxy had answered for it), half, under a mark that does not
 * rise, for a server that drains, or a repeat of a class that must never run twice. It knows the
 * protocol and nothing of the store.
 */
public final class UpdateChecker {
  private static final class Seen {
    final TestPeers.AppliedUpdates held;

    /**
     * Lines by class and server, levels by class, that the proxy has answered for, and when it did.
     */
    final Map<String, String> answered = new HashMap<>();

    final Map<String, String> since = new HashMap<>();
    long answeredAt = Long.MAX_VALUE;
    boolean whole;
    int mark;
    boolean joining;

    /** It held some line as its stream began. */
    boolean heldLines;

    List<List<String>> message = new ArrayList<>();

    Seen(TestPeers.AppliedUpdates held) {
      this.held = held;
    }
  }

  public final List<String> faults = new ArrayList<>();
  private final Map<Integer, Seen> proxies = new TreeMap<>();
  private final Map<String, Long> draining = new HashMap<>();
  private final Set<String> fragile;
  private final List<String> classes;
  private final long slack;
  public int orders;

  /** Whole tables, and messages of less, that went to proxies which rejoined. */
  public int wholes;

  public int deltas;

  /**
   * {@code slack}: how long an answer or a word of the list may be on its way, in the caller's
   * time.
   */
  public UpdateChecker(List<String> classes, Set<String> fragile, long slack) {
    this.classes = classes;
    this.fragile = fragile;
    this.slack = slack;
  }

  public TestPeers.AppliedUpdates held(int proxy) {
    return proxies.computeIfAbsent(proxy, p -> new Seen(new TestPeers.AppliedUpdates(classes)))
        .held;
  }

  private Seen seen(int proxy) {
    held(proxy);
    return proxies.get(proxy);
  }

  /** A stream begins; {@code killed}: when the assigner that the proxy followed was killed. */
  public void joined(int proxy, boolean fresh, long killed) {
    Seen p = seen(proxy);
    p.joining = true;
    p.heldLines = p.held.by.values().stream().anyMatch(holding -> !holding.lines.isEmpty());
    p.message.clear();
    // What is not answered now is answered on no later stream.
    p.since.clear();
    if (fresh || p.answeredAt > killed - slack) {
      // What was not surely heard of may come again.
      p.answered.clear();
    }
  }

  public void listed(String server, boolean drains, long now) {
    if (drains) {
      draining.putIfAbsent(server, now);
    } else {
      draining.remove(server);
    }
  }

  /** A part of a message came. */
  public void part(int proxy, List<String> words, long now) {
    Seen p = seen(proxy);
    p.message.add(words);
    p.held.update(words);
    if (words.contains("more")) {
      return;
    }
    orders++;
    Map<String, String> now1 = new HashMap<>();
    boolean whole = false;
    for (List<String> one : p.message) {
      Map<String, String> at = new HashMap<>();
      for (int k = 1; k < one.size(); k += 2) {
        at.put(one.get(k), one.get(k + 1));
      }
      whole |= at.containsKey("whole");
      List<String> which =
          at.containsKey("classes") ? List.of(at.get("classes").split("\\+")) : classes;
      for (String grade : which) {
        for (String line : at.containsKey("lines") ? at.get("lines").split(",") : new String[0]) {
          now1.put(grade + "/" + line.substring(0, line.lastIndexOf(':')), line);
        }
        if (at.containsKey("level")) {
          now1.put(grade, at.get("level") + " " + at.get("retry"));
        }
        if (fragile.contains(grade) && Integer.parseInt(at.getOrDefault("retry", "0")) > 1) {
          faults.add("proxy " + proxy + ": a repeat that may run twice: " + one);
        }
      }
      if (at.containsKey("ticket")) {
        int mark = Integer.parseInt(at.get("ticket"));
        if (mark <= p.mark) {
          faults.add("proxy " + proxy + ": mark " + mark + " after " + p.mark);
        }
        p.mark = mark;
      }
    }
    deltas += p.joining && !whole ? 1 : 0;
    if (p.joining && !p.answered.isEmpty()) {
      wholes += whole ? 1 : 0;
      // Who joins while its table has no line is bound once it has one again, with the whole table:
      // that repeats no line. Who held a line as it joined gets what it lacks.
      if (whole && p.whole && p.heldLines) {
        faults.add("proxy " + proxy + ": its table whole though it had answered for it");
      }
      now1.forEach(
          (what, order) -> {
            if (order.equals(p.answered.get(what))) {
              faults.add("proxy " + proxy + ": ordered twice: " + what + " " + order);
            }
          });
    }
    p.joining = false;
    p.whole |= whole;
    p.since.putAll(now1);
    p.answeredAt = Long.MAX_VALUE;
    p.message.clear();
    faults.addAll(p.held.faults);
    p.held.faults.clear();
    drained(proxy, now);
  }

  /** Nobody may be sent to a server that the list has long called draining. */
  public void drained(int proxy, long now) {
    for (String grade : classes) {
      for (String server : seen(proxy).held.open(grade).keySet()) {
        Long since = draining.get(server);
        if (since != null && now - since > slack && seen(proxy).message.isEmpty()) {
          faults.add("proxy " + proxy + ": sent to " + server + " which drains");
        }
      }
    }
  }

  /** The proxy has answered for all that it was sent. */
  public void answered(int proxy, long now) {
    Seen p = seen(proxy);
    p.answered.putAll(p.since);
    p.since.clear();
    p.answeredAt = now;
  }

  /**
   * A stream ended in the middle of a message: none of it counts, and what came of it is a fault of
   * ours.
   */
  public void ended(int proxy) {
    seen(proxy).message.clear();
  }

  /** Something came since the last answer. */
  boolean unanswered(int proxy) {
    return !seen(proxy).since.isEmpty();
  }

  int mark(int proxy) {
    return seen(proxy).mark;
  }
}
