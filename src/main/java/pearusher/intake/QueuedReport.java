package pearusher.intake;

/**
 * A load report in the intake.
 *
 * @param origin the sender: a proxy's number, or below 0 a collector's
 * @param subject what the totals are of: reports of one origin about the same subject add up
 * @param ageUs estimated time in microseconds since the end of its span, when it is delivered
 */
public record QueuedReport(int origin, Subject subject, ReportTotals totals, long ageUs) {

  /** A report that has just arrived. */
  public QueuedReport(int origin, Subject subject, ReportTotals totals) {
    this(origin, subject, totals, 0);
  }

  QueuedReport withAge(long newAgeUs) {
    return new QueuedReport(origin, subject, totals, newAgeUs);
  }

  /** What a report's totals are of. */
  public sealed interface Subject {}

  // The records below are keys of a hash map for each report: their hashCode and equals are written
  // out because the generated ones are slower.

  /** Attempts of a zone's proxies at a server, given by its name. */
  public record ServerAttempts(String server, int zone) implements Subject {
    @Override
    public int hashCode() {
      return 31 * server.hashCode() + zone;
    }

    @Override
    public boolean equals(Object other) {
      return other instanceof ServerAttempts that
          && that.zone == zone
          && that.server.equals(server);
    }
  }

  /** Requests of a class that arrived at a proxy. */
  public record ProxyRequests(int proxy, int requestClass) implements Subject {
    @Override
    public int hashCode() {
      return 31 * proxy + requestClass;
    }

    @Override
    public boolean equals(Object other) {
      return other instanceof ProxyRequests that
          && that.proxy == proxy
          && that.requestClass == requestClass;
    }
  }
}
