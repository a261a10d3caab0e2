package pearusher.policy;

/**
 * A load report: attempts of a zone's proxies that ended at a server within a span of time.
 *
 * @param server the server
 * @param zone the zone of the proxies
 * @param attempts attempts that ended
 * @param failedAttempts those that failed
 * @param spanUs length of the span, in microseconds
 * @param meanUs mean response time of the successful attempts, in microseconds
 * @param load the load metrics reported, in the order of the settings; {@link FaastPolicy} reads
 *     only those of health checks
 * @param ageUs time since the end of the span, in microseconds
 */
public record AttemptReport(
    long server,
    int zone,
    long attempts,
    long failedAttempts,
    long spanUs,
    long meanUs,
    float[] load,
    long ageUs) {

  /** A report of a span that ends now. */
  public static AttemptReport ofSpanEndingNow(
      long server,
      int zone,
      long attempts,
      long failedAttempts,
      long spanUs,
      long meanUs,
      float[] load) {
    return new AttemptReport(server, zone, attempts, failedAttempts, spanUs, meanUs, load, 0);
  }
}
