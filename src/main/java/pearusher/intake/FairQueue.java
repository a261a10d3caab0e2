package pearusher.intake;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Per-origin report queues, served by deficit round robin (Shreedhar and Varghese, 1995) with a
 * cost of one per report. Its size is proportional to the number of origins and queued reports.
 */
final class FairQueue {
  /** Outcome of adding a report. */
  enum AddResult {
    QUEUED,
    MERGED,
    REFUSED
  }

  private final int maxPerOrigin;
  private final Map<Integer, OriginQueue> queues = new HashMap<>();

  /** Origins with queued reports, in the order of their turns. */
  private final ArrayDeque<Integer> schedule = new ArrayDeque<>();

  private int size;

  FairQueue(int maxPerOrigin) {
    this.maxPerOrigin = maxPerOrigin;
  }

  /**
   * Adds a report to its origin's queue. A queued report of the same subject is merged with it.
   *
   * @return {@code REFUSED} if the origin's queue is full
   */
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

  /**
   * Delivers reports in round-robin order, one for each token, until the tokens or the reports run
   * out.
   */
  void serve(TokenBucket budget, Consumer<QueuedReport> receiver) {
    while (budget.hasToken() && !schedule.isEmpty()) {
      int origin = schedule.poll();
      OriginQueue queue = queues.get(origin);
      queue.startTurn();
      while (queue.canDequeue() && budget.hasToken()) {
        budget.consumeToken();
        size--;
        receiver.accept(queue.removeOldest(origin));
      }
      if (queue.isEmpty()) {
        // Drops the deficit counter with the queue: an idle origin accumulates no turns.
        queues.remove(origin);
      } else {
        schedule.add(origin);
      }
    }
  }

  /** Returns the queues of all origins, which the caller may modify. */
  Collection<OriginQueue> queues() {
    return queues.values();
  }

  /** Removes empty queues and updates the schedule and the size, after a caller changed queues. */
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

  /** Returns the number of queued reports; merged reports count as one. */
  int size() {
    return size;
  }
}
