package pearusher.intake;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * The reports that wait for the module. While no more wait than it may hear at once, each is let
 * through as it came and in that order. Beyond that is a flood: each origin has a place of its own,
 * where reports about the same add up and which holds so many at most; places are served by deficit
 * round robin (Shreedhar and Varghese, 1995), a report for a unit, within the budget. Once a second
 * what is more than the next second can hear is thinned: origins over their even share keep a
 * priority sample that stands for all they had. A flood ends once all places were empty for a
 * while, so that one that hovers at the budget does not switch at every turn.
 *
 * <p>Callers guard it by a lock of theirs. Times are microseconds of one clock that may jump.
 */
public final class Intake {

  /**
   * Bounds.
   *
   * @param reportsPerSecond reports that the module hears in a second of a flood
   * @param maxQueued reports that may wait before it is a flood
   * @param maxPerOrigin most reports of one origin that wait in a flood, merged ones counted once
   * @param samplingEnabled whether what can't be heard in a second is thinned; else it waits
   * @param seed of what is drawn
   * @param maxAgeUs what is older when its turn comes is let go
   * @param recoveryUs how long all places must have been empty until it is over
   */
  public record Bounds(
      double reportsPerSecond,
      int maxQueued,
      int maxPerOrigin,
      long recoveryUs,
      long maxAgeUs,
      boolean samplingEnabled,
      long seed) {}

  /** What happens, for the log; who has no use for it leaves it. */
  public interface Events {
    /**
     * More waits than the module may hear at once; the origin that most of it is from, and its
     * part.
     */
    default void onOverloadStarted(int origin, double part) {}

    /**
     * Reports were thinned.
     *
     * @param kept the part of them that was kept
     * @param error the standard error of the tries that they stand for, as a part of those
     */
    default void onSampled(double kept, double error) {}

    /** It is over: reports that were merged into others, and those refused for want of a place. */
    default void onOverloadEnded(long merged, long refused) {}

    /** A report was too old to be heard. */
    default void onExpired(QueuedReport item) {}
  }

  private static final long SECOND_US = 1_000_000;

  /** Sources whose last report is remembered, some 200 bytes each. */
  private static final int MOST_SOURCES = 100_000;

  private static final class Place {
    final Map<QueuedReport.Subject, ReportTotals> waiting = new LinkedHashMap<>();
    long deficit;
  }

  private final Bounds bounds;
  private final Events events;

  /** Out of a flood: all that waits, as it came. */
  private final ArrayDeque<QueuedReport> calm = new ArrayDeque<>();

  private final Map<Integer, Place> places = new HashMap<>();

  /** Origins with something in their place, in the order of their turns. */
  private final ArrayDeque<Integer> turns = new ArrayDeque<>();

  /** Spans that wait in the calm queue, by source: what is behind a report tells its age. */
  private final Map<ReportSource, Long> behind = new HashMap<>();

  private final ReportAgeEstimator ages;
  private final SplittableRandom random;
  private long thinnedUs = Long.MIN_VALUE;
  private boolean flooded;
  private int waiting;
  private double tokens;
  private long lastUs = Long.MIN_VALUE;
  private long emptySinceUs = Long.MIN_VALUE;
  private long merged;
  private long refused;

  public Intake(Bounds bounds, Events events) {
    this.bounds = bounds;
    this.events = events;
    ages = new ReportAgeEstimator(MOST_SOURCES);
    random = new SplittableRandom(bounds.seed());
  }

  /** Takes a report; false if its origin has no room for it left, which costs nobody else. */
  public boolean offer(QueuedReport item) {
    if (!flooded && calm.size() < bounds.maxQueued()) {
      calm.add(item);
      behind.merge(ReportSource.of(item), item.totals().spanUs(), Long::sum);
      return true;
    }
    if (!flooded) {
      begin();
    }
    return place(item);
  }

  private void begin() {
    flooded = true;
    tokens = 0;
    merged = 0;
    refused = 0;
    emptySinceUs = Long.MIN_VALUE;
    Map<Integer, Integer> by = new HashMap<>();
    calm.forEach(item -> by.merge(item.origin(), 1, Integer::sum));
    int most =
        by.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey).orElse(0);
    events.onOverloadStarted(most, 1.0 * by.getOrDefault(most, 0) / Math.max(1, calm.size()));
    calm.forEach(this::place);
    calm.clear();
    behind.clear();
  }

  private boolean place(QueuedReport item) {
    Place place = places.computeIfAbsent(item.origin(), o -> new Place());
    ReportTotals old = place.waiting.get(item.subject());
    if (old != null) {
      place.waiting.put(item.subject(), old.plus(item.totals()));
      merged++;
      return true;
    }
    if (place.waiting.size() >= bounds.maxPerOrigin()) {
      refused++;
      return false;
    }
    if (place.waiting.isEmpty()) {
      turns.add(item.origin());
    }
    place.waiting.put(item.subject(), item.totals());
    waiting++;
    return true;
  }

  /** Lets one report through while it is calm; the oldest. */
  public void pollOldest(long nowUs, Consumer<QueuedReport> out) {
    QueuedReport item = calm.poll();
    if (item != null) {
      Long left = behind.merge(ReportSource.of(item), -item.totals().spanUs(), Long::sum);
      if (left <= 0) {
        behind.remove(ReportSource.of(item));
      }
      hear(item, left, nowUs, out);
    }
  }

  private void hear(QueuedReport item, long behindUs, long nowUs, Consumer<QueuedReport> out) {
    long age = ages.age(item, behindUs, nowUs);
    if (age > bounds.maxAgeUs()) {
      events.onExpired(item);
    } else {
      out.accept(item.aged(age));
    }
  }

  /**
   * In a flood: lets through what the budget has room for, in fair turns, and ends a flood that is
   * over.
   */
  public void serve(long nowUs, Consumer<QueuedReport> out) {
    if (!flooded) {
      return;
    }
    // A clock that jumps back gives nothing, one that jumps ahead a second's worth at most.
    long passed = lastUs == Long.MIN_VALUE ? 0 : Math.max(0, Math.min(SECOND_US, nowUs - lastUs));
    lastUs = nowUs;
    tokens = Math.min(bounds.reportsPerSecond(), tokens + passed * bounds.reportsPerSecond() / 1e6);
    if (thinnedUs == Long.MIN_VALUE || nowUs < thinnedUs) {
      thinnedUs = nowUs;
    } else if (bounds.samplingEnabled() && nowUs - thinnedUs >= SECOND_US) {
      thinnedUs = nowUs;
      thin();
    }
    while (tokens >= 1 && !turns.isEmpty()) {
      int origin = turns.poll();
      Place place = places.get(origin);
      // A quantum of one report: no origin's turn is longer than another's, whatever it sends.
      place.deficit++;
      while (place.deficit >= 1 && tokens >= 1 && !place.waiting.isEmpty()) {
        QueuedReport.Subject first = place.waiting.keySet().iterator().next();
        ReportTotals sums = place.waiting.remove(first);
        place.deficit--;
        tokens--;
        waiting--;
        hear(new QueuedReport(origin, first, sums), 0, nowUs, out);
      }
      if (place.waiting.isEmpty()) {
        // Who has nothing left saves no turns up.
        places.remove(origin);
      } else {
        turns.add(origin);
      }
    }
    end(nowUs);
  }

  /** A report that may be thinned out; {@code mass}: its part of what its origin had. */
  private record Candidate(
      Place place, QueuedReport.Subject about, ReportTotals sums, double mass) {}

  /**
   * Brings what waits down to what a second can hear; who has no more than an even share keeps it
   * all. The others are sampled together, each origin with the same mass, so that each keeps an
   * even share on average whatever it sent: apart, shares of one or two would state no error that
   * can be trusted.
   */
  private void thin() {
    int most = (int) bounds.reportsPerSecond();
    if (waiting <= most) {
      return;
    }
    int share = share(most);
    int before = waiting;
    List<Candidate> over = new ArrayList<>();
    int origins = 0;
    for (Place place : places.values()) {
      if (place.waiting.size() <= share) {
        continue;
      }
      origins++;
      // A report without tries still says that its origin is there.
      double all =
          place.waiting.values().stream().mapToDouble(s -> Math.max(1, s.attempts())).sum();
      place.waiting.forEach(
          (about, sums) ->
              over.add(new Candidate(place, about, sums, Math.max(1, sums.attempts()) / all)));
      waiting -= place.waiting.size();
      place.waiting.clear();
    }
    double variance = 0;
    for (PrioritySample.Kept<Candidate> one :
        new PrioritySample<>(over, Candidate::mass, share * origins, random).kept()) {
      Candidate kept = one.item();
      double tries = kept.sums().attempts() / kept.mass();
      double added = one.variance() * tries * tries;
      kept.place()
          .waiting
          .put(kept.about(), kept.sums().scaled(one.estimate() / kept.mass(), added, random));
      waiting++;
      variance += added;
    }
    // Who kept nothing has no turn any more.
    turns.removeIf(origin -> places.get(origin).waiting.isEmpty());
    places.values().removeIf(place -> place.waiting.isEmpty());
    long all =
        places.values().stream()
            .flatMap(p -> p.waiting.values().stream())
            .mapToLong(ReportTotals::attempts)
            .sum();
    events.onSampled(1.0 * waiting / before, Math.sqrt(variance) / Math.max(1, all));
  }

  /**
   * The largest number that each origin may keep so that all together keep so many: what one leaves
   * unused goes to the others.
   */
  private int share(int most) {
    int[] sizes = places.values().stream().mapToInt(p -> p.waiting.size()).sorted().toArray();
    int left = most;
    for (int k = 0; k < sizes.length; k++) {
      int even = left / (sizes.length - k);
      if (sizes[k] > even) {
        return Math.max(1, even);
      }
      left -= sizes[k];
    }
    return most;
  }

  private void end(long nowUs) {
    if (waiting > 0) {
      emptySinceUs = Long.MIN_VALUE;
    } else if (emptySinceUs == Long.MIN_VALUE || nowUs < emptySinceUs) {
      emptySinceUs = nowUs;
    } else if (nowUs - emptySinceUs >= bounds.recoveryUs()) {
      flooded = false;
      lastUs = Long.MIN_VALUE;
      thinnedUs = Long.MIN_VALUE;
      places.clear();
      turns.clear();
      events.onOverloadEnded(merged, refused);
    }
  }

  public boolean isOverloaded() {
    return flooded;
  }

  /** Reports that wait, merged ones counted once. */
  public int size() {
    return calm.size() + waiting;
  }
}
