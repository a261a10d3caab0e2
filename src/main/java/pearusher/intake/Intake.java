package pearusher.intake;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Queue of load reports in front of the policy, in one of two modes.
 *
 * <ul>
 *   <li>Normal: reports are delivered unchanged, in the order of their arrival.
 *   <li>Overload, entered when the number of queued reports exceeds its limit: each origin has a
 *       bounded queue in which reports of the same subject are merged. The queues are served in
 *       round-robin order within a rate limit. Once a second, reports in excess of the next
 *       second's rate are reduced to a sample. The mode ends after all queues have been empty for
 *       the recovery time, so that a load close to the limit does not switch it on and off.
 * </ul>
 *
 * <p>Not thread-safe: callers synchronize access. Times are microseconds of one clock that may
 * jump. Its size is proportional to the number of queued reports and of sources whose report
 * ageEstimator are estimated.
 */
public final class Intake {

  /**
   * Limits of an intake.
   *
   * @param reportsPerSecond rate limit of delivery during an overload
   * @param maxQueued number of queued reports above which an overload starts
   * @param maxPerOrigin maximum number of queued reports of one origin during an overload; merged
   *     reports count as one
   * @param recoveryUs time in microseconds that all queues must be empty before an overload ends
   * @param maxAgeUs age in microseconds above which a report is dropped instead of delivered
   * @param samplingEnabled whether reports that can't be delivered within a second are sampled; if
   *     false, they stay queued
   * @param seed seed of the random numbers for sampling
   */
  public record Bounds(
      double reportsPerSecond,
      int maxQueued,
      int maxPerOrigin,
      long recoveryUs,
      long maxAgeUs,
      boolean samplingEnabled,
      long seed) {}

  /** Listener for changes of mode and dropped reports. By default, all methods do nothing. */
  public interface Events {
    /**
     * Called when an overload starts.
     *
     * @param origin the origin with the most queued reports
     * @param share the fraction of the queued reports that this origin sent, from 0 to 1
     */
    default void onOverloadStarted(int origin, double share) {}

    /**
     * Called when queued reports were reduced to a sample.
     *
     * @param keptShare the fraction of the reports that remain queued, from 0 to 1
     * @param relativeError the standard error of the estimated number of attempts, divided by that
     *     number
     */
    default void onSampled(double keptShare, double relativeError) {}

    /**
     * Called when an overload ends.
     *
     * @param merged number of reports merged with others during the overload
     * @param refused number of reports refused because their origin's queue was full
     */
    default void onOverloadEnded(long merged, long refused) {}

    /** Called when a report is dropped because it is older than the limit. */
    default void onExpired(QueuedReport report) {}
  }

  private static final long SAMPLING_INTERVAL_US = 1_000_000;

  /** Bound on the sources whose report ages are estimated, at about 200 bytes each. */
  private static final int MAX_SOURCES = 100_000;

  private final Bounds bounds;
  private final Events events;
  private final ArrivalQueue arrivals = new ArrivalQueue();
  private final FairQueue overloadQueue;
  private final TokenBucket budget;
  private final OverloadSampler sampler;
  private final ReportAgeEstimator ageEstimator = new ReportAgeEstimator(MAX_SOURCES);
  private boolean isOverloaded;
  private OptionalLong lastSamplingUs = OptionalLong.empty();
  private OptionalLong emptySinceUs = OptionalLong.empty();
  private long mergedCount;
  private long refusedCount;

  /** Creates an empty intake in normal mode. */
  public Intake(Bounds bounds, Events events) {
    this.bounds = bounds;
    this.events = events;
    overloadQueue = new FairQueue(bounds.maxPerOrigin());
    budget = new TokenBucket(bounds.reportsPerSecond());
    sampler = new OverloadSampler(new SplittableRandom(bounds.seed()));
  }

  /**
   * Adds a report, and starts an overload if too many are queued.
   *
   * @return false if the report was refused because its origin's queue is full
   */
  public boolean offer(QueuedReport report) {
    if (!isOverloaded && arrivals.size() < bounds.maxQueued()) {
      arrivals.add(report);
      return true;
    }
    if (!isOverloaded) {
      startOverload();
    }
    return addToOverloadQueue(report);
  }

  private void startOverload() {
    isOverloaded = true;
    budget.reset();
    mergedCount = 0;
    refusedCount = 0;
    emptySinceUs = OptionalLong.empty();
    reportOverload();
    arrivals.reports().forEach(this::addToOverloadQueue);
    arrivals.clear();
  }

  private void reportOverload() {
    Map<Integer, Integer> countByOrigin = new HashMap<>();
    arrivals.reports().forEach(report -> countByOrigin.merge(report.origin(), 1, Integer::sum));
    int busiest =
        countByOrigin.entrySet().stream()
            .max(Map.Entry.comparingByValue())
            .map(Map.Entry::getKey)
            .orElse(0);
    int count = countByOrigin.getOrDefault(busiest, 0);
    events.onOverloadStarted(busiest, 1.0 * count / Math.max(1, arrivals.size()));
  }

  private boolean addToOverloadQueue(QueuedReport report) {
    FairQueue.AddResult result = overloadQueue.add(report);
    if (result == FairQueue.AddResult.MERGED) {
      mergedCount++;
    }
    if (result == FairQueue.AddResult.REFUSED) {
      refusedCount++;
    }
    return result != FairQueue.AddResult.REFUSED;
  }

  /** Delivers the oldest report, if one is queued, in normal mode. */
  public void pollOldest(long nowUs, Consumer<QueuedReport> receiver) {
    if (!arrivals.isEmpty()) {
      QueuedReport report = arrivals.removeOldest();
      deliver(report, arrivals.queuedSpanUs(report), nowUs, receiver);
    }
  }

  private void deliver(
      QueuedReport report, long behindUs, long nowUs, Consumer<QueuedReport> receiver) {
    long ageUs = ageEstimator.estimateAgeUs(report, behindUs, nowUs);
    if (ageUs > bounds.maxAgeUs()) {
      events.onExpired(report);
    } else {
      receiver.accept(report.withAge(ageUs));
    }
  }

  /**
   * Delivers reports in round-robin order within the rate limit during an overload, and ends the
   * overload once all queues have been empty for the recovery time. Does nothing in normal mode.
   */
  public void serve(long nowUs, Consumer<QueuedReport> receiver) {
    if (!isOverloaded) {
      return;
    }
    budget.refill(nowUs);
    sampleIfDue(nowUs);
    overloadQueue.serve(budget, report -> deliver(report, 0, nowUs, receiver));
    endOverloadIfRecovered(nowUs);
  }

  private void sampleIfDue(long nowUs) {
    if (lastSamplingUs.isEmpty() || nowUs < lastSamplingUs.getAsLong()) {
      lastSamplingUs = OptionalLong.of(nowUs);
    } else if (bounds.samplingEnabled()
        && nowUs - lastSamplingUs.getAsLong() >= SAMPLING_INTERVAL_US) {
      lastSamplingUs = OptionalLong.of(nowUs);
      sampler
          .reduce(overloadQueue, (int) bounds.reportsPerSecond())
          .ifPresent(outcome -> events.onSampled(outcome.keptShare(), outcome.relativeError()));
    }
  }

  private void endOverloadIfRecovered(long nowUs) {
    if (overloadQueue.size() > 0) {
      emptySinceUs = OptionalLong.empty();
    } else if (emptySinceUs.isEmpty() || nowUs < emptySinceUs.getAsLong()) {
      emptySinceUs = OptionalLong.of(nowUs);
    } else if (nowUs - emptySinceUs.getAsLong() >= bounds.recoveryUs()) {
      isOverloaded = false;
      lastSamplingUs = OptionalLong.empty();
      overloadQueue.clear();
      events.onOverloadEnded(mergedCount, refusedCount);
    }
  }

  /** Returns whether the intake is in overload mode. */
  public boolean isOverloaded() {
    return isOverloaded;
  }

  /** Returns the number of queued reports; merged reports count as one. */
  public int size() {
    return arrivals.size() + overloadQueue.size();
  }
}
