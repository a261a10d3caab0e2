package pearusher.intake;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A queue of reports for each origin, served by deficit round robin (Shreedhar and Varghese, 1995),
 * a report for a unit. It grows with the origins and the reports that wait.
 */
final class FairQueue {
  /** What became of a report that was added. */
  enum AddResult {
    QUEUED,
    MERGED,
    REFUSED
  }

  private final int maxPerOrigin;
  private final Map<Integer, OriginQueue> queues = new HashMap<>();

  /** Origins with reports that wait, in the order of their turns. */
  private final ArrayDeque<Integer> schedule = new ArrayDeque<>();

  private int size;

  FairQueue(int maxPerOrigin) {
    this.maxPerOrigin = maxPerOrigin;
  }

  /** Adds a report to its origin's queue, to one about the same subject if there is one. */
  AddResult add(QueuedReport report) {
    OriginQueue queue = queues.computeIfAbsent(report.origin(), ignored -> new OriginQueue());
    ReportTotals earlier = queue.totals().get(report.subject());
    if (earlier != null) {
      queue.totals().put(report.subject(), earlier.plus(report.totals()));
      return AddResult.MERGED;
    }
    if (queue.size() >= maxPerOrigin) {
      return AddResult.REFUSED;
    }
    if (queue.isEmpty()) {
      schedule.add(report.origin());
    }
    queue.totals().put(report.subject(), report.totals());
    size++;
    return AddResult.QUEUED;
  }

  /** Takes reports in fair turns, one for each token, as long as there are tokens and reports. */
  void serve(TokenBucket budget, Consumer<QueuedReport> receiver) {
    while (budget.hasToken() && !schedule.isEmpty()) {
      int origin = schedule.poll();
      OriginQueue queue = queues.get(origin);
      queue.startTurn();
      while (queue.mayTake() && budget.hasToken()) {
        budget.take();
        size--;
        receiver.accept(queue.take(origin));
      }
      if (queue.isEmpty()) {
        // A new queue starts without a deficit: an idle origin saves up no turns.
        queues.remove(origin);
      } else {
        schedule.add(origin);
      }
    }
  }

  /** The queues of all origins. */
  Collection<OriginQueue> queues() {
    return queues.values();
  }

  /** Brings the schedule and the size up to date after the queues were changed. */
  void removeEmptyQueues() {
    schedule.removeIf(origin -> queues.get(origin).isEmpty());
    queues.values().removeIf(OriginQueue::isEmpty);
    size = queues.values().stream().mapToInt(OriginQueue::size).sum();
  }

  void clear() {
    queues.clear();
    schedule.clear();
    size = 0;
  }

  /** The number of reports that wait, merged ones counted once. */
  int size() {
    return size;
  }
}
