package pearusher.intake;

import java.util.SplittableRandom;

/**
 * What some attempts resulted in, in a form that adds up exactly: whole numbers, and the total time
 * of the successful attempts in place of its mean.
 *
 * @param attempts how many attempts there were
 * @param failed how many of them failed
 * @param successTotalUs total time of the successful ones in microseconds
 * @param spanUs the time in microseconds that the reports cover
 * @param reports how many reports were added up
 * @param load the latest load report of the server among them; empty for none
 * @param variance of the attempts as an estimate: 0 where nothing was left out. Those of several
 *     add up, since their random draws are independent
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
   * The totals of one report.
   *
   * @param meanUs mean time of the successful attempts in microseconds
   */
  public static ReportTotals of(
      long attempts, long failed, long meanUs, long spanUs, float[] load) {
    long successTotalUs = meanUs * Math.max(0, attempts - failed);
    return new ReportTotals(attempts, failed, successTotalUs, spanUs, 1, load, 0);
  }

  /** The sum of these totals and later ones. */
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
   * These totals as they stand for more attempts. Counts are rounded up or down at random, so that
   * nothing is added or lost on average; the mean stays.
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
   * The mean time of the successful attempts, rounded to the nearest microsecond; 0 where there are
   * none.
   */
  public long meanUs() {
    long succeeded = attempts - failed;
    return succeeded <= 0 ? 0 : (successTotalUs + succeeded / 2) / succeeded;
  }
}
