package pearusher.policy;

import java.util.List;
import java.util.Map;

/**
 * One assigner: it hears about servers, proxies and answers, and orders tables, withdrawals and
 * levels.
 *
 * <p>Everything the decisions need comes through this file. Times are microseconds of the caller's
 * clock. The caller gives all events of one instant, then calls {@link #close}; orders may be given
 * at any time up to the end of that call. Servers, proxies and tables are opaque numbers; zones and
 * classes are positions in the settings' lists, so that no name reaches the decisions.
 */
public interface Assigner {

  /** What a repeat of a request of a class may do. */
  enum Effect {
    SAFE,
    KEYED,
    UNSAFE
  }

  /** What a level means: a share let in, requests a second at each proxy, or nothing. */
  enum Levels {
    SHARE,
    RATE,
    NONE
  }

  /** Where load reports come from. */
  enum ReportFrom {
    ANSWERS,
    PROBES,
    NOWHERE
  }

  /** The values that a load report may hold. */
  enum Field {
    INFLIGHT,
    QUEUE,
    UTIL,
    LATENCY_MS,
    PER_S,
    ERRORS_PER_S,
    OTHER
  }

  /** What a list of servers is. */
  enum ListForm {
    CHANGES,
    WHOLE,
    CACHED,
    FAILED
  }

  /** What the list says of a server. */
  enum State {
    GONE,
    READY,
    DRAINING
  }

  /** How a probe ended. */
  enum Probe {
    OK,
    ERROR,
    TURNED_AWAY,
    NO_ANSWER,
    DOWN,
    BROKEN,
    OTHER
  }

  /** A request class; {@code groupAll}: all servers discard repeats of a keyed request. */
  record Grade(
      long aimUs,
      long deadlineUs,
      double worth,
      double lateWorth,
      Effect effect,
      boolean groupAll,
      long windowUs,
      boolean writes,
      boolean ownZone,
      double aimStretch) {}

  /** The way to the proxies: pace, fixed lines of a message, most lines waiting, and its delays. */
  record Channel(
      double linesPerS,
      double head,
      double backlog,
      int messagesMost,
      long messagesOverUs,
      long lateUs,
      long lateMostUs) {}

  /** The figures of the rules. */
  record Limits(
      long bareUs,
      long graceUs,
      double coldFrom,
      long rampUs,
      double fallMultiple,
      long fallUs,
      long askWithinUs,
      boolean onlyDrainingBinds) {}

  /** Points taken off for each unit. */
  record Prices(
      double crossZone,
      double probe,
      double orders,
      double lateFail,
      double waste,
      double connection,
      double handshake,
      double peer,
      double list,
      double handover,
      double moves) {}

  /** What a result is made of. */
  record Goal(
      double whole,
      double worstWindow,
      double worstClass,
      double worstTenant,
      double nines,
      double ninesFull,
      boolean byWork) {}

  /** How a proxy picks a line: at random by weight, in turn by weight, or the less busy of two. */
  enum Pick {
    RANDOM,
    ROTATE,
    TWO
  }

  /**
   * How proxies and servers of the site are built; times for slices and exclusive owners among
   * them.
   */
  record Site(
      Pick pick,
      int standing,
      double connsLeast,
      int streamsPerConn,
      long idleCloseUs,
      long connectTimeoutUs,
      double cpuUsPerS,
      boolean ownZoneJoins,
      boolean warmKeys,
      boolean exclusive,
      long parkUs,
      long tenureUs,
      long settleUs) {}

  /** All that an instance is told at its start. */
  record Settings(
      long seed,
      int zones,
      List<Grade> grades,
      int proxies,
      int me,
      int instances,
      int zone,
      Channel channel,
      Limits limits,
      Prices prices,
      Levels levels,
      int usualRetry,
      double tryAims,
      long periodUs,
      double intakePerS,
      int ejects,
      int slices,
      boolean listOnRequest,
      boolean probes,
      boolean peers,
      ReportFrom reportFrom,
      List<Field> reportFields,
      boolean weightsListed,
      long tickUs,
      Goal goal,
      Site site) {}

  /** A line of the list; {@code startedUs} 0: long ago. */
  record Entry(
      long server, int zone, int kind, int cell, State state, double weight, long startedUs) {}

  /**
   * Where orders go. What is ordered between two calls of {@link #close} becomes one message a
   * proxy.
   */
  interface Orders {
    void line(int table, long server, double weight);

    void clear(int table);

    void withdraw(long server, boolean out);

    void bind(int proxy, int table, int classBits);

    void admit(int table, int classBits, double level, int retry);

    void mark(int number, boolean toAll);

    void watch(boolean on);

    void fetch();

    void probe(long server);

    void timer(long delayUs, long token);

    void tell(long peer, byte[] body);

    void log(String text);

    /**
     * This proxy shuts out what the list tells, no more: servers that never changed need no word.
     */
    default void sure(int proxy) {}

    /**
     * Others may have withdrawn it: its lines bring the word that it is back, to all or the unsure.
     */
    default void doubt(long server, boolean all) {}

    /** No order names this server's number again, nor did one that still holds. */
    default void forget(long server) {}
  }

  void listed(long now, ListForm form, List<Entry> entries);

  void timer(long now, long token);

  /**
   * The end of a probe; who asks for none leaves it (each has a price, and they changed no measured
   * day).
   */
  default void probed(long now, long server, Probe end, long tookUs, float[] load) {}

  /** A word from another assigner; who needs no agreement leaves it. */
  default void told(long now, int peer, byte[] body) {}

  void joined(long now, int proxy, int zone, double perS, boolean onlyStanding);

  void left(long now, int proxy);

  /**
   * A table that an earlier process of this assigner had ordered, before the first {@link #close}:
   * weights by server, level and way of trying again by class (-1: neither was ordered), and the
   * last mark given.
   */
  default void restored(
      long now,
      int table,
      Map<Long, Double> weights,
      double[] levels,
      int[] retries,
      int lastMark) {}

  /**
   * A proxy that joins holds this table of ours, so many lines aside; told in the turn of its
   * joining.
   */
  default void holds(long now, int proxy, int table, int lacks) {}

  void applied(long now, int proxy, int mark, long tookUs);

  /**
   * Tries of a zone's proxies that ended at a server in a span; {@code meanUs}: of the good ones.
   */
  default void heard(
      long now,
      long server,
      int zone,
      long tries,
      long failed,
      long spanUs,
      long meanUs,
      float[] load) {
    heard(now, server, zone, tries, failed, spanUs, meanUs, load, 0);
  }

  /** The same of a span that ended some time ago. */
  void heard(
      long now,
      long server,
      int zone,
      long tries,
      long failed,
      long spanUs,
      long meanUs,
      float[] load,
      long ageUs);

  /** Requests of a class that came to a proxy in a span; {@code failed}: let in, not answered. */
  void usage(long now, int proxy, int grade, long requests, long failed, long spanUs);

  /**
   * Slices, where the settings count any: given or taken, a line of one's table, what came for it.
   */
  default void sliceGiven(long now, int slice, boolean given) {}

  default void sliceLine(long now, int slice, long server, double weight) {}

  default void sliceUsage(
      long now, int slice, int grade, long requests, long failed, long spanUs) {}

  /** The end of what happened at this instant. */
  void close(long now);
}
