package pearusher.intake;

/**
 * Load report in the intake.
 *
 * @param origin the sender: a proxy's number, or a negative number for a collector
 * @param subject the subject of the totals; reports of one origin with equal subjects are summed
 * @param ageUs estimated time in microseconds from the end of the report's span to its delivery; 0
 *     before delivery
 */
public record QueuedReport(int origin, Subject subject, ReportTotals totals, long ageUs) {

  /** Creates a report of age 0, as it arrives. */
  public QueuedReport(int origin, Subject subject, ReportTotals totals) {
    this(origin, subject, totals, 0);
  }

  QueuedReport withAge(long newAgeUs) {
    return new QueuedReport(origin, subject, totals, newAgeUs);
  }

  /** Subject of a report's totals. */
  public sealed interface Subject {}

  // The records below are hash map keys that are looked up for each report. Their hashCode and
  // equals are written out because the generated ones are slower.

  /** Attempts of the proxies of a zone at a server, which is identified by name. */
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
