package pearusher.policy;

/**
 * A load report: attempts of a zone's proxies that ended at one server within a time span.
 *
 * @param server number of the server
 * @param zone zone of the proxies
 * @param attempts number of attempts that ended
 * @param failedAttempts number of these that failed
 * @param spanUs length of the time span, in microseconds
 * @param meanUs mean response time of the successful attempts, in microseconds
 * @param load reported load metrics, in the order of {@link PolicySettings#loadMetrics}; {@link
 *     FaastPolicy} ignores them and reads only the load metrics of health checks
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

  /** Creates a report of a time span that ends now. */
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
