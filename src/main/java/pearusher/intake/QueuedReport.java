package pearusher.intake;

/**
 * A report that waits.
 *
 * @param origin who sent it: a proxy's number, or below 0 a collector's
 * @param subject what its sums are of: reports of one origin about the same add up
 * @param ageUs how long ago its span ended, as it is let through
 */
public record QueuedReport(int origin, Subject subject, ReportTotals totals, long ageUs) {

  /** A report that came just now. */
  public QueuedReport(int origin, Subject subject, ReportTotals totals) {
    this(origin, subject, totals, 0);
  }

  QueuedReport aged(long us) {
    return new QueuedReport(origin, subject, totals, us);
  }

  /** What a report's sums are of. */
  public sealed interface Subject {}

  /** Tries of a zone's proxies at a server, by its name. */
  public record ServerAttempts(String server, int zone) implements Subject {
    @Override
    public int hashCode() {
      return 31 * server.hashCode() + zone;
    }

    @Override
    public boolean equals(Object other) {
      return other instanceof ServerAttempts t && t.zone == zone && t.server.equals(server);
    }
  }

  /** Requests of a class that came to a proxy. */
  public record ProxyRequests(int proxy, int requestClass) implements Subject {
    @Override
    public int hashCode() {
      return 31 * proxy + requestClass;
    }

    @Override
    public boolean equals(Object other) {
      return other instanceof ProxyRequests r && r.proxy == proxy && r.requestClass == requestClass;
    }
  }
}
