package pearusher.intake;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Tests of the estimated span ends of one source, and of the bound on the number of sources. */
class ReportAgeEstimatorTest {
  private static final int MAX_SOURCES = 10;

  private static QueuedReport report(int origin) {
    return new QueuedReport(
        origin,
        new QueuedReport.ServerAttempts("s", 0),
        ReportTotals.of(1, 0, 40_000, 1_000_000, new float[0]));
  }

  /** At any clock steps and report rates, the estimated span ends of a source do not decrease. */
  @Property(seed = "20", tries = 300)
  void estimatedSpanEndsDoNotDecrease(
      @ForAll @Size(max = 60) List<@IntRange(min = -3000, max = 5000) Integer> stepsMs) {
    ReportAgeEstimator ages = new ReportAgeEstimator(MAX_SOURCES);
    long nowUs = 1_000_000_000;
    long endUs = Long.MIN_VALUE;
    long latestUs = nowUs;
    for (int stepMs : stepsMs) {
      nowUs += stepMs * 1000L;
      latestUs = Math.max(latestUs, nowUs);
      boolean isGap = stepMs > 1000;
      long behindUs = Math.abs(stepMs) % 7 == 0 ? 2_000_000 : 0;
      long ageUs = ages.estimateAgeUs(report(1), behindUs, nowUs);
      assertTrue(ageUs >= 0);
      // Span ends from before and after a backward clock jump can't be compared.
      if (nowUs >= latestUs) {
        assertTrue(nowUs - ageUs >= endUs, "steps " + stepsMs + " at " + stepMs);
      }
      // The estimated age of a single report after a gap may be corrected by the next report.
      endUs = isGap ? endUs : Math.max(endUs, nowUs - ageUs);
    }
    for (int origin = 0; origin < 50; origin++) {
      ages.estimateAgeUs(report(origin), 0, nowUs);
    }
    assertEquals(MAX_SOURCES, ages.size());
  }
}
