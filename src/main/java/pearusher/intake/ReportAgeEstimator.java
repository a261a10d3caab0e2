package pearusher.intake;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates the age of reports without a timestamp of their sender.
 *
 * <p>The reports of one source cover consecutive spans of time. Of several queued reports of a
 * source only the last can be current: the age of each is the sum of the spans queued behind it.
 * Reports that arrive after a gap faster than the spans that they cover were delayed during the
 * gap: the age of the second of them is the gap less the span covered since, and so on until the
 * spans add up to the gap. A single report after a gap counts as current: either nothing happened
 * during the gap, or earlier reports were lost.
 *
 * <p>A clock that jumps back makes no report older. The estimated span ends of a source never
 * decrease, except after a single report that follows a gap: its age is uncertain until the next
 * report arrives.
 *
 * <p>Its size is proportional to the number of sources, up to the given maximum.
 */
final class ReportAgeEstimator {
  /** A report that arrives sooner after the previous one than this fraction of its span is late. */
  private static final double MIN_INTERVAL_PER_SPAN = 0.5;

  private static final long UNKNOWN_US = Long.MIN_VALUE;

  private static final class SourceHistory {
    long lastReportUs;

    /** Remainder of a gap that no report has covered yet. */
    long uncoveredUs;

    /** Gap before the last report; used only if the next report arrives too soon. */
    long gapUs;

    /** Estimated end of the last report's span. */
    long spanEndUs = UNKNOWN_US;

    /** Estimated end of the span before it. */
    long previousSpanEndUs = UNKNOWN_US;
  }

  private final Map<ReportSource, SourceHistory> histories;

  /**
   * Creates an estimator without sources.
   *
   * @param maxSources number of sources above which the least recently reporting one is evicted
   */
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
   * Estimates the time from the end of a report's span to the delivery of the report.
   *
   * @param behindUs sum in microseconds of the spans of the same source that are queued behind it
   * @param nowUs the time of delivery in microseconds
   * @return the age in microseconds; 0 for a current report
   */
  long estimateAgeUs(QueuedReport report, long behindUs, long nowUs) {
    SourceHistory history =
        histories.computeIfAbsent(ReportSource.of(report), ignored -> new SourceHistory());
    boolean hasJumpedBack = nowUs < history.lastReportUs;
    if (hasJumpedBack) {
      history.gapUs = 0;
    } else if (history.spanEndUs != UNKNOWN_US) {
      updateGap(history, report.totals().spanUs(), nowUs - history.lastReportUs);
    }
    history.lastReportUs = nowUs;
    long ageUs = Math.max(behindUs, Math.max(0, history.uncoveredUs));
    history.previousSpanEndUs = history.spanEndUs;
    history.spanEndUs = Math.max(history.spanEndUs, nowUs - ageUs);
    return Math.max(0, nowUs - history.spanEndUs);
  }

  private static void updateGap(SourceHistory history, long spanUs, long elapsedUs) {
    if (elapsedUs >= MIN_INTERVAL_PER_SPAN * spanUs) {
      history.uncoveredUs = 0;
      history.gapUs = Math.max(0, elapsedUs - spanUs);
      return;
    }
    // The reports of the gap were delayed, so the last report's estimated span end was too late.
    history.uncoveredUs = Math.max(history.uncoveredUs, history.gapUs) - spanUs;
    if (history.gapUs > 0) {
      history.spanEndUs = history.previousSpanEndUs;
    }
    history.gapUs = 0;
  }

  int size() {
    return histories.size();
  }
}
