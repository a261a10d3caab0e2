package pearusher.intake;

/**
 * A report that waits.
 *
 * @param origin who sent it: a proxy's number, or below 0 a collector's
 * @param about what its sums are of: reports of one origin about the same add up
 * @param ageUs how long ago its span ended, as it is let through
 */
public record Item(int origin, About about, Sums sums, long ageUs) {

  /** A report that came just now. */
  public Item(int origin, About about, Sums sums) {
    this(origin, about, sums, 0);
  }

  Item aged(long us) {
    return new Item(origin, about, sums, us);
  }

  /** What a report's sums are of. */
  public sealed interface About {}

  /** Tries of a zone's proxies at a server, by its name. */
  public record Tries(String server, int zone) implements About {
    @Override
    public int hashCode() {
      return 31 * server.hashCode() + zone;
    }

    @Override
    public boolean equals(Object other) {
      return other instanceof Tries t && t.zone == zone && t.server.equals(server);
    }
  }

  /** Requests of a class that came to a proxy. */
  public record Requests(int proxy, int grade) implements About {
    @Override
    public int hashCode() {
      return 31 * proxy + grade;
    }

    @Override
    public boolean equals(Object other) {
      return other instanceof Requests r && r.proxy == proxy && r.grade == grade;
    }
  }
}
