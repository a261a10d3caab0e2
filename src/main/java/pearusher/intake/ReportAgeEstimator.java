package pearusher.intake;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How old a report is, from what is known without a clock of the sender's. Reports of one origin
 * about the same follow one another and each covers its span, so of several that wait together only
 * the last can be of now: each is as old as what the ones behind it cover. And where, after a
 * silence, they come faster than the time that they cover, they are what the silence held back: the
 * second of them is as old as the silence, less what was covered since, and so on until it is made
 * up for. A single report after a silence is of now: nothing happened, or it was lost.
 *
 * <p>A clock that jumps back makes nobody old. Ages of one source never run backwards in time: what
 * was reported later is not taken for older than what came before it, but for that single report
 * after a silence, whose age was a guess until the next one came.
 */
final class ReportAgeEstimator {
  /** Share of a report's span that must pass until the next one of it is at its pace. */
  private static final double PACE = 0.5;

  /** What is known of an origin's reports about one thing. */
  private static final class Seen {
    long lastUs;

    /** Time that a silence held back and that no report has covered since. */
    long heldUs;

    /** The silence before the last report: it was one if another follows too soon. */
    long gapUs;

    /** The last report's end of its span, by the estimate: never runs back. */
    long endUs = Long.MIN_VALUE;

    /** The same before the last report. */
    long endBeforeUs = Long.MIN_VALUE;
  }

  private final Map<ReportSource, Seen> seen;

  /** {@code most}: sources that are remembered, those heard of longest ago go first. */
  ReportAgeEstimator(int most) {
    seen =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<ReportSource, Seen> eldest) {
            return size() > most;
          }
        };
  }

  /**
   * The age of a report's end as it is let through.
   *
   * @param behindUs spans of the reports of the same source that wait behind it
   * @return microseconds, 0 for now
   */
  long age(QueuedReport item, long behindUs, long nowUs) {
    Seen at = seen.computeIfAbsent(ReportSource.of(item), s -> new Seen());
    long span = item.totals().spanUs();
    if (at.endUs != Long.MIN_VALUE && nowUs >= at.lastUs) {
      long passed = nowUs - at.lastUs;
      if (passed < PACE * span) {
        // Too soon for its span: the silence before the last report was none, its reports were
        // held.
        at.heldUs = Math.max(at.heldUs, at.gapUs) - span;
        at.endUs = at.gapUs > 0 ? at.endBeforeUs : at.endUs;
        at.gapUs = 0;
      } else {
        at.heldUs = 0;
        at.gapUs = Math.max(0, passed - span);
      }
    }
    if (nowUs < at.lastUs) {
      // A clock that jumped back measures no silence.
      at.gapUs = 0;
    }
    at.lastUs = nowUs;
    long age = Math.max(behindUs, Math.max(0, at.heldUs));
    at.endBeforeUs = at.endUs;
    at.endUs = Math.max(at.endUs, nowUs - age);
    return Math.max(0, nowUs - at.endUs);
  }

  int size() {
    return seen.size();
  }
}
