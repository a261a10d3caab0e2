package pearusher.policy;

import java.util.List;
import java.util.Map;

/**
 * One assigner: it hears about servers, proxies and answers, and orders tables, withdrawals and
 * levels.
 *
 * <p>Everything the decisions need comes through this file. Times are microseconds of the caller's
 * clock. The caller gives all events of one instant, then calls {@link #onBatchEnd}; orders may be
 * given at any time up to the end of that call. Servers, proxies and tables are opaque numbers;
 * zones and classes are positions in the settings' lists, so that no name reaches the decisions.
 */
public interface AssignmentPolicy {

  void onEndpointList(long now, ListUpdateKind form, List<ServerEntry> entries);

  void onTimer(long now, long token);

  /**
   * The end of a probe; who asks for none leaves it (each has a price, and they changed no measured
   * day).
   */
  default void onHealthCheckResult(
      long now, long server, HealthCheckResult end, long tookUs, float[] load) {}

  /** A word from another assigner; who needs no agreement leaves it. */
  default void onPeerMessage(long now, int peer, byte[] body) {}

  void onProxyJoined(long now, int proxy, int zone, double perS, boolean onlyStanding);

  void onProxyLeft(long now, int proxy);

  /**
   * A table that an earlier process of this assigner had ordered, before the first {@link
   * #onBatchEnd}: weights by server, level and way of trying again by class (-1: neither was
   * ordered), and the last mark given.
   */
  default void onTableRestored(
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
  default void onTableHeld(long now, int proxy, int table, int lacks) {}

  void onAcknowledgement(long now, int proxy, int mark, long tookUs);

  /**
   * Tries of a zone's proxies that ended at a server in a span; {@code meanUs}: of the good ones.
   */
  default void onLoadReport(
      long now,
      long server,
      int zone,
      long tries,
      long failed,
      long spanUs,
      long meanUs,
      float[] load) {
    onLoadReport(now, server, zone, tries, failed, spanUs, meanUs, load, 0);
  }

  /** The same of a span that ended some time ago. */
  void onLoadReport(
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
  void onUsageReport(long now, int proxy, int grade, long requests, long failed, long spanUs);

  /**
   * Slices, where the settings count any: given or taken, a line of one's table, what came for it.
   */
  default void onSliceAssignment(long now, int slice, boolean given) {}

  default void onSliceWeight(long now, int slice, long server, double weight) {}

  default void onSliceUsageReport(
      long now, int slice, int grade, long requests, long failed, long spanUs) {}

  /** The end of what happened at this instant. */
  void onBatchEnd(long now);
}
