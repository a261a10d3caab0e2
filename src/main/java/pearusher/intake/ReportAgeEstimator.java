package pearusher.intake;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates how old a report is without a clock of its sender.
 *
 * <p>Reports of one source follow one another and each covers its span. So of several that wait
 * together only the last can be current: each is as old as what the ones behind it cover. Where,
 * after a silence, reports come faster than the time that they cover, they were delayed during the
 * silence: the second of them is as old as the silence, less what was covered since, and so on
 * until the silence is covered. A single report after a silence counts as current: either nothing
 * happened, or earlier reports were lost.
 *
 * <p>A clock that jumps back makes no report older. The ends of a source's spans never run
 * backwards in time, except after that single report, whose age was a guess until the next one
 * arrived.
 *
 * <p>It grows with the sources, up to the given number.
 */
final class ReportAgeEstimator {
  /** A report that arrives sooner than this part of its span was delayed. */
  private static final double MIN_PART_OF_SPAN = 0.5;

  private static final long UNKNOWN_US = Long.MIN_VALUE;

  private static final class SourceHistory {
    long lastReportUs;

    /** The part of a silence that no report has covered yet. */
    long uncoveredUs;

    /** The silence before the last report, which counts if the next one follows too soon. */
    long silenceUs;

    /** Estimated end of the last report's span. */
    long spanEndUs = UNKNOWN_US;

    /** Estimated end of the span before it. */
    long previousSpanEndUs = UNKNOWN_US;
  }

  private final Map<ReportSource, SourceHistory> histories;

  /** An estimator that remembers so many sources, the ones that reported last. */
  ReportAgeEstimator(int maxSources) {
    histories =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<ReportSource, SourceHistory> eldest) {
            return size() > maxSources;
          }
        };
  }

  /**
   * Estimates the age of the end of a report's span when the report is delivered.
   *
   * @param behindUs spans of the reports of the same source that wait behind it
   * @return microseconds, 0 for current
   */
  long estimateAgeUs(QueuedReport report, long behindUs, long nowUs) {
    SourceHistory history =
        histories.computeIfAbsent(ReportSource.of(report), ignored -> new SourceHistory());
    boolean hasJumpedBack = nowUs < history.lastReportUs;
    if (hasJumpedBack) {
      history.silenceUs = 0;
    } else if (history.spanEndUs != UNKNOWN_US) {
      updateSilence(history, report.totals().spanUs(), nowUs - history.lastReportUs);
    }
    history.lastReportUs = nowUs;
    long ageUs = Math.max(behindUs, Math.max(0, history.uncoveredUs));
    history.previousSpanEndUs = history.spanEndUs;
    history.spanEndUs = Math.max(history.spanEndUs, nowUs - ageUs);
    return Math.max(0, nowUs - history.spanEndUs);
  }

  private static void updateSilence(SourceHistory history, long spanUs, long elapsedUs) {
    if (elapsedUs >= MIN_PART_OF_SPAN * spanUs) {
      history.uncoveredUs = 0;
      history.silenceUs = Math.max(0, elapsedUs - spanUs);
      return;
    }
    // The reports of the silence before the last one were delayed: its estimate was wrong.
    history.uncoveredUs = Math.max(history.uncoveredUs, history.silenceUs) - spanUs;
    if (history.silenceUs > 0) {
      history.spanEndUs = history.previousSpanEndUs;
    }
    history.silenceUs = 0;
  }

  int size() {
    return histories.size();
  }
}
