package pearusher.policy;

import java.util.List;
import java.util.Map;

/**
 * The decisions of one instance: it receives events about servers, proxies and load, and issues
 * {@link PolicyCommands}.
 *
 * <p>Times are microseconds of the caller's clock. The caller reports all events of one instant and
 * then calls {@link #onBatchEnd}; commands may be issued at any time until that call returns.
 * Servers, proxies and tables are opaque numbers; zones and request classes are positions in the
 * settings' lists. All methods are called by one thread.
 */
public interface AssignmentPolicy {

  /**
   * The endpoint list, or a change of it.
   *
   * @param nowUs the present time
   * @param kind what {@code entries} are; on {@code FAILED} they are ignored
   * @param entries the servers listed or changed
   */
  void onEndpointList(long nowUs, ListUpdateKind kind, List<ServerEntry> entries);

  /**
   * A timer has fired. Timers can't be cancelled.
   *
   * @param nowUs the present time
   * @param token the token that {@link PolicyCommands#setTimer} was given
   */
  void onTimer(long nowUs, long token);

  /**
   * A health check has ended. A policy that requests none ignores it.
   *
   * @param nowUs the present time
   * @param server the server checked
   * @param result how the check ended
   * @param tookUs its duration, in microseconds
   * @param load the load metrics reported, in the order of the settings; valid if the result is OK
   */
  default void onHealthCheckResult(
      long nowUs, long server, HealthCheckResult result, long tookUs, float[] load) {}

  /**
   * A message from another instance. A policy that needs no agreement ignores it.
   *
   * @param nowUs the present time
   * @param peer the sender
   * @param body the message
   */
  default void onPeerMessage(long nowUs, int peer, byte[] body) {}

  /**
   * A proxy has joined.
   *
   * @param nowUs the present time
   * @param proxy the proxy
   * @param zone its zone
   * @param requestsPerSecond its demand, as far as known
   * @param listedChangesOnly whether it starts without tables and excludes only servers that the
   *     endpoint list names as changed
   */
  void onProxyJoined(
      long nowUs, int proxy, int zone, double requestsPerSecond, boolean listedChangesOnly);

  /**
   * A proxy has left.
   *
   * @param nowUs the present time
   * @param proxy the proxy
   */
  void onProxyLeft(long nowUs, int proxy);

  /**
   * A table that an earlier process of this instance had published; reported before the first
   * {@link #onBatchEnd}.
   *
   * @param nowUs the present time
   * @param table the table
   * @param weights published weights by server
   * @param levels published admission levels by request class
   * @param retryModes published retry modes by request class; -1: neither level nor mode was
   *     published
   * @param lastAckNumber the last acknowledgement number that was requested
   */
  default void onTableRestored(
      long nowUs,
      int table,
      Map<Long, Double> weights,
      double[] levels,
      int[] retryModes,
      int lastAckNumber) {}

  /**
   * A proxy holds a table of this instance; reported in the batch in which it joins.
   *
   * @param nowUs the present time
   * @param proxy the proxy
   * @param table the table that it holds
   * @param missingLines lines of the table's present content that it lacks
   */
  default void onTableHeld(long nowUs, int proxy, int table, int missingLines) {}

  /**
   * A proxy has acknowledged an update.
   *
   * @param nowUs the present time
   * @param proxy the proxy
   * @param ackNumber the number that {@link PolicyCommands#requestAck} was given
   * @param tookUs time from the update to the acknowledgement, in microseconds
   */
  void onAcknowledgement(long nowUs, int proxy, int ackNumber, long tookUs);

  /**
   * A load report.
   *
   * @param nowUs the present time
   * @param report the attempts reported
   */
  void onLoadReport(long nowUs, AttemptReport report);

  /**
   * Requests of a class that arrived at a proxy within a span of time.
   *
   * @param nowUs the present time
   * @param proxy the proxy
   * @param requestClass the request class
   * @param requests requests that arrived
   * @param failed requests that were admitted and not answered
   * @param spanUs length of the span, in microseconds
   */
  void onUsageReport(
      long nowUs, int proxy, int requestClass, long requests, long failed, long spanUs);

  /**
   * A slice was assigned to this instance or taken from it, where the settings have slices.
   *
   * @param nowUs the present time
   * @param slice the slice
   * @param assigned whether it was assigned
   */
  default void onSliceAssignment(long nowUs, int slice, boolean assigned) {}

  /**
   * A weight of an assigned slice's table.
   *
   * @param nowUs the present time
   * @param slice the slice
   * @param server the server
   * @param weight its weight
   */
  default void onSliceWeight(long nowUs, int slice, long server, double weight) {}

  /**
   * Requests of a class that arrived for a slice within a span of time.
   *
   * @param nowUs the present time
   * @param slice the slice
   * @param requestClass the request class
   * @param requests requests that arrived
   * @param failed requests that were admitted and not answered
   * @param spanUs length of the span, in microseconds
   */
  default void onSliceUsageReport(
      long nowUs, int slice, int requestClass, long requests, long failed, long spanUs) {}

  /**
   * All events of this instant were reported. The policy decides and issues its commands.
   *
   * @param nowUs the present time
   */
  void onBatchEnd(long nowUs);
}
