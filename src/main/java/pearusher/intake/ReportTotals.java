package pearusher.intake;

import java.util.SplittableRandom;

/**
 * What some tries brought, in a form that adds exactly: whole numbers, and the good tries' time as
 * a total in microseconds in place of its mean.
 *
 * @param reports how many reports it is made of
 * @param load the last load report among them; empty for none
 * @param variance of the tries as an estimate: 0 where nothing was left out. Those of several add
 *     up, since what is drawn for one tells nothing of another
 */
public record ReportTotals(
    long attempts,
    long failed,
    long goodUs,
    long spanUs,
    long reports,
    float[] load,
    double variance) {

  /** One report as it came; {@code meanUs}: of the good tries. */
  public static ReportTotals of(long tries, long failed, long meanUs, long spanUs, float[] load) {
    return new ReportTotals(
        tries, failed, meanUs * Math.max(0, tries - failed), spanUs, 1, load, 0);
  }

  /** This and what came after it. */
  public ReportTotals plus(ReportTotals later) {
    return new ReportTotals(
        attempts + later.attempts,
        failed + later.failed,
        goodUs + later.goodUs,
        spanUs + later.spanUs,
        reports + later.reports,
        later.load.length > 0 ? later.load : load,
        variance + later.variance);
  }

  /**
   * These sums as they stand for more: counts times a factor, rounded up or down by chance so that
   * nothing is added or lost on average; the mean stays.
   */
  public ReportTotals scaled(double factor, double addedVariance, SplittableRandom random) {
    long all = rounded(attempts * factor, random);
    long bad = Math.min(all, rounded(failed * factor, random));
    return new ReportTotals(
        all,
        bad,
        meanUs() * (all - bad),
        spanUs,
        reports,
        load,
        factor * factor * variance + addedVariance);
  }

  private static long rounded(double value, SplittableRandom random) {
    double whole = Math.floor(value);
    return (long) whole + (random.nextDouble() < value - whole ? 1 : 0);
  }

  /** The mean time of the good tries, rounded to the nearest microsecond; 0 where none was good. */
  public long meanUs() {
    long good = attempts - failed;
    return good <= 0 ? 0 : (goodUs + good / 2) / good;
  }
}
