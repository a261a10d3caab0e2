package pearusher.intake;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * The queue of load reports in front of the policy, in one of two modes.
 *
 * <ul>
 *   <li>Normal: reports are delivered unchanged, in the order of their arrival.
 *   <li>Overload, once more reports wait than may: each origin has a bounded queue in which reports
 *       about the same subject are merged. The queues are served in fair turns within a rate limit.
 *       Once a second, what is more than the next second can serve is reduced to a sample. The mode
 *       ends when all queues were empty for a while, so that a load which hovers at the limit does
 *       not switch it on and off.
 * </ul>
 *
 * <p>Not thread-safe: callers guard it by a lock of theirs. Times are microseconds of one clock
 * that may jump. It grows with the reports that wait and the sources whose ages are estimated.
 */
public final class Intake {

  /**
   * Limits of an intake.
   *
   * @param reportsPerSecond reports that are delivered in a second under overload
   * @param maxQueued reports that may wait before it is an overload
   * @param maxPerOrigin most reports of one origin that wait under overload, merged ones counted
   *     once
   * @param recoveryUs how long all queues must have been empty until an overload is over
   * @param maxAgeUs age above which a report is dropped instead of delivered
   * @param samplingEnabled whether reports that can't be delivered within a second are sampled;
   *     else they wait
   * @param seed of the random numbers for sampling
   */
  public record Bounds(
      double reportsPerSecond,
      int maxQueued,
      int maxPerOrigin,
      long recoveryUs,
      long maxAgeUs,
      boolean samplingEnabled,
      long seed) {}

  /** Receives changes of state, for the log; all methods do nothing by default. */
  public interface Events {
    /**
     * An overload has started.
     *
     * @param origin the one that most of the waiting reports are from
     * @param part its part of them
     */
    default void onOverloadStarted(int origin, double part) {}

    /**
     * Waiting reports were reduced to a sample.
     *
     * @param keptPart the part of them that was kept
     * @param relativeError the standard error of the attempts that they stand for, as a part of
     *     those
     */
    default void onSampled(double keptPart, double relativeError) {}

    /**
     * An overload is over.
     *
     * @param merged reports that were added to others
     * @param refused reports that were refused since their origin's queue was full
     */
    default void onOverloadEnded(long merged, long refused) {}

    /** A report was dropped since it was too old. */
    default void onExpired(QueuedReport report) {}
  }

  private static final long SAMPLING_INTERVAL_US = 1_000_000;

  /** Sources whose ages are estimated, some 200 bytes each. */
  private static final int MAX_SOURCES = 100_000;

  private final Bounds bounds;
  private final Events events;
  private final ArrivalQueue arrivals = new ArrivalQueue();
  private final FairQueue overloadQueue;
  private final TokenBucket budget;
  private final OverloadSampler sampler;
  private final ReportAgeEstimator ages = new ReportAgeEstimator(MAX_SOURCES);
  private boolean isOverloaded;
  private OptionalLong lastSamplingUs = OptionalLong.empty();
  private OptionalLong emptySinceUs = OptionalLong.empty();
  private long mergedCount;
  private long refusedCount;

  /** An empty intake in normal mode. */
  public Intake(Bounds bounds, Events events) {
    this.bounds = bounds;
    this.events = events;
    overloadQueue = new FairQueue(bounds.maxPerOrigin());
    budget = new TokenBucket(bounds.reportsPerSecond());
    sampler = new OverloadSampler(new SplittableRandom(bounds.seed()));
  }

  /**
   * Adds a report.
   *
   * @return false if it was refused since its origin's queue is full
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

  /** In normal mode: delivers the oldest report, if there is one. */
  public void pollOldest(long nowUs, Consumer<QueuedReport> receiver) {
    if (!arrivals.isEmpty()) {
      QueuedReport report = arrivals.take();
      deliver(report, arrivals.waitingSpanUs(report), nowUs, receiver);
    }
  }

  private void deliver(
      QueuedReport report, long behindUs, long nowUs, Consumer<QueuedReport> receiver) {
    long ageUs = ages.estimateAgeUs(report, behindUs, nowUs);
    if (ageUs > bounds.maxAgeUs()) {
      events.onExpired(report);
    } else {
      receiver.accept(report.withAge(ageUs));
    }
  }

  /**
   * Under overload: delivers reports in fair turns within the rate limit, and ends an overload that
   * is over.
   */
  public void serve(long nowUs, Consumer<QueuedReport> receiver) {
    if (!isOverloaded) {
      return;
    }
    budget.refill(nowUs);
    sampleIfDue(nowUs);
    overloadQueue.serve(budget, report -> deliver(report, 0, nowUs, receiver));
    endOverloadIfOver(nowUs);
  }

  private void sampleIfDue(long nowUs) {
    if (lastSamplingUs.isEmpty() || nowUs < lastSamplingUs.getAsLong()) {
      lastSamplingUs = OptionalLong.of(nowUs);
    } else if (bounds.samplingEnabled()
        && nowUs - lastSamplingUs.getAsLong() >= SAMPLING_INTERVAL_US) {
      lastSamplingUs = OptionalLong.of(nowUs);
      sampler
          .reduce(overloadQueue, (int) bounds.reportsPerSecond())
          .ifPresent(outcome -> events.onSampled(outcome.keptPart(), outcome.relativeError()));
    }
  }

  private void endOverloadIfOver(long nowUs) {
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

  /** Whether the intake is in overload mode. */
  public boolean isOverloaded() {
    return isOverloaded;
  }

  /** The number of reports that wait, merged ones counted once. */
  public int size() {
    return arrivals.size() + overloadQueue.size();
  }
}
