package pearusher.intake;

import java.util.SplittableRandom;

/**
 * Results of attempts in a form that can be summed exactly: integers, and the total time of the
 * successful attempts instead of its mean.
 *
 * @param attempts number of attempts
 * @param failed number of failed attempts
 * @param successTotalUs total time of the successful attempts in microseconds
 * @param spanUs total time in microseconds that the reports cover
 * @param reports number of reports summed
 * @param load the latest load metrics of the server among these reports; empty if there are none
 * @param variance variance of {@code attempts} as an estimate; 0 if no report was dropped by
 *     sampling. Variances can be summed because the random draws are independent
 */
public record ReportTotals(
    long attempts,
    long failed,
    long successTotalUs,
    long spanUs,
    long reports,
    float[] load,
    double variance) {

  /**
   * Returns the totals of one report.
   *
   * @param meanUs mean time of the successful attempts in microseconds
   * @param spanUs the time in microseconds that the report covers
   */
  public static ReportTotals of(
      long attempts, long failed, long meanUs, long spanUs, float[] load) {
    long successTotalUs = meanUs * Math.max(0, attempts - failed);
    return new ReportTotals(attempts, failed, successTotalUs, spanUs, 1, load, 0);
  }

  /** Returns the sum of these totals and later ones, with the later load metrics if present. */
  public ReportTotals plus(ReportTotals later) {
    return new ReportTotals(
        attempts + later.attempts,
        failed + later.failed,
        successTotalUs + later.successTotalUs,
        spanUs + later.spanUs,
        reports + later.reports,
        later.load.length > 0 ? later.load : load,
        variance + later.variance);
  }

  /**
   * Returns these totals with attempts scaled by a factor. Counts are rounded up or down at random,
   * so that the rounding is unbiased; the mean time is preserved.
   *
   * @param addedVariance the variance that the scaled number of attempts has in addition
   */
  public ReportTotals scaled(double factor, double addedVariance, SplittableRandom random) {
    long scaledAttempts = roundRandomly(attempts * factor, random);
    long scaledFailed = Math.min(scaledAttempts, roundRandomly(failed * factor, random));
    return new ReportTotals(
        scaledAttempts,
        scaledFailed,
        meanUs() * (scaledAttempts - scaledFailed),
        spanUs,
        reports,
        load,
        factor * factor * variance + addedVariance);
  }

  private static long roundRandomly(double value, SplittableRandom random) {
    double floor = Math.floor(value);
    boolean roundsUp = random.nextDouble() < value - floor;
    return (long) floor + (roundsUp ? 1 : 0);
  }

  /**
   * Returns the mean time of the successful attempts, rounded to the nearest microsecond; 0 if no
   * attempt succeeded.
   */
  public long meanUs() {
    long succeeded = attempts - failed;
    return succeeded <= 0 ? 0 : (successTotalUs + succeeded / 2) / succeeded;
  }
}
