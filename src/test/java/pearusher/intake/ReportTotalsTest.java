package pearusher.intake;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Tests that report totals can be summed without loss. */
class ReportTotalsTest {
  private static final int FIELDS = 4;

  private static ReportTotals totals(List<Integer> fields) {
    int attempts = fields.get(0);
    int failed = Math.min(attempts, fields.get(1));
    return ReportTotals.of(attempts, failed, fields.get(2), fields.get(3), new float[0]);
  }

  private static List<Long> fields(ReportTotals totals) {
    return List.of(
        totals.attempts(),
        totals.failed(),
        totals.successTotalUs(),
        totals.spanUs(),
        totals.reports(),
        totals.meanUs());
  }

  @Property(seed = "18", tries = 500)
  void mergingIsAssociativeAndLossless(
      @ForAll @Size(3 * FIELDS) List<@IntRange(max = 600_000) Integer> drawn) {
    ReportTotals first = totals(drawn.subList(0, FIELDS));
    ReportTotals second = totals(drawn.subList(FIELDS, 2 * FIELDS));
    ReportTotals third = totals(drawn.subList(2 * FIELDS, 3 * FIELDS));
    ReportTotals merged = first.plus(second).plus(third);
    assertEquals(fields(merged), fields(first.plus(second.plus(third))));
    assertEquals(first.attempts() + second.attempts() + third.attempts(), merged.attempts());
    assertEquals(first.failed() + second.failed() + third.failed(), merged.failed());
    // The mean is weighted by successful attempts and rounded to the nearest microsecond.
    double succeeded = merged.attempts() - merged.failed();
    double totalUs =
        1.0 * first.successTotalUs() + second.successTotalUs() + third.successTotalUs();
    double meanUs = succeeded == 0 ? 0 : totalUs / succeeded;
    assertEquals(meanUs, (double) merged.meanUs(), 0.5);
  }
}
