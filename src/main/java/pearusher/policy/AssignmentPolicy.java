package pearusher.policy;

import java.util.List;
import java.util.Map;

/**
 * Decision logic of one assigner instance. A policy receives events about servers, proxies and
 * load, and issues {@link PolicyCommands}.
 *
 * <p>Times are microseconds of the caller's clock. The caller reports all events of one instant and
 * then calls {@link #onBatchEnd}. The policy may issue commands at any time until that call
 * returns. Servers, proxies and tables are identified by opaque numbers. Zones and request classes
 * are identified by their positions in the settings' lists, from 0. One thread calls all methods.
 * No argument is null.
 */
public interface AssignmentPolicy {

  /**
   * Handles a complete endpoint list, a change of it, or the failure to get it.
   *
   * @param nowUs current time, in microseconds
   * @param kind the meaning of {@code entries}; they are ignored if it is {@code FAILED}
   * @param entries the servers listed or changed
   */
  void onEndpointList(long nowUs, ListUpdateKind kind, List<ServerEntry> entries);

  /**
   * Handles a timer that has fired. Timers can't be cancelled.
   *
   * @param nowUs current time, in microseconds
   * @param token the token passed to {@link PolicyCommands#setTimer}
   */
  void onTimer(long nowUs, long token);

  /**
   * Handles the end of a health check. Policies that request no health checks ignore it.
   *
   * @param nowUs current time, in microseconds
   * @param server the server checked
   * @param result the outcome of the check
   * @param tookUs duration of the check, in microseconds
   * @param load the load metrics reported, in the order of the settings; valid only if the result
   *     is {@code OK}
   */
  default void onHealthCheckResult(
      long nowUs, long server, HealthCheckResult result, long tookUs, float[] load) {}

  /**
   * Handles a message from another instance. Policies that coordinate with no other instance ignore
   * it.
   *
   * @param nowUs current time, in microseconds
   * @param peer the sending instance
   * @param body the content of the message
   */
  default void onPeerMessage(long nowUs, int peer, byte[] body) {}

  /**
   * Handles a proxy that has joined.
   *
   * @param nowUs current time, in microseconds
   * @param proxy the proxy
   * @param zone the zone of the proxy
   * @param requestsPerSecond estimated demand of the proxy, in requests per second
   * @param listedChangesOnly whether the proxy starts without tables and excludes only servers that
   *     the endpoint list names as changed
   */
  void onProxyJoined(
      long nowUs, int proxy, int zone, double requestsPerSecond, boolean listedChangesOnly);

  /**
   * Handles a proxy that has left.
   *
   * @param nowUs current time, in microseconds
   * @param proxy the proxy
   */
  void onProxyLeft(long nowUs, int proxy);

  /**
   * Handles a table that an earlier process of this instance had published. The caller reports
   * restored tables before the first {@link #onBatchEnd}.
   *
   * @param nowUs current time, in microseconds
   * @param table the table
   * @param weights published weights by server
   * @param levels published admission levels by request class
   * @param retryModes published retry modes by request class; -1 if neither level nor mode was
   *     published
   * @param lastAckNumber the acknowledgement number requested last
   */
  default void onTableRestored(
      long nowUs,
      int table,
      Map<Long, Double> weights,
      double[] levels,
      int[] retryModes,
      int lastAckNumber) {}

  /**
   * Handles the report that a joining proxy already has a table of this instance. The caller
   * reports it in the batch in which the proxy joins.
   *
   * @param nowUs current time, in microseconds
   * @param proxy the proxy
   * @param table the table that the proxy has
   * @param missingLines number of lines of the table's current content that the proxy has not
   *     received
   */
  default void onProxyTableReported(long nowUs, int proxy, int table, int missingLines) {}

  /**
   * Handles the acknowledgement of an update by a proxy.
   *
   * @param nowUs current time, in microseconds
   * @param proxy the proxy
   * @param ackNumber the number passed to {@link PolicyCommands#requestAck}
   * @param tookUs time from the update to its acknowledgement, in microseconds
   */
  void onAcknowledgement(long nowUs, int proxy, int ackNumber, long tookUs);

  /**
   * Handles a load report.
   *
   * @param nowUs current time, in microseconds
   * @param report the reported attempts
   */
  void onLoadReport(long nowUs, AttemptReport report);

  /**
   * Handles a usage report: the requests of a class that arrived at a proxy within a time span.
   *
   * @param nowUs current time, in microseconds
   * @param proxy the proxy
   * @param requestClass the request class
   * @param requests number of requests that arrived
   * @param failed number of requests that were admitted and not answered
   * @param spanUs length of the time span, in microseconds
   */
  void onUsageReport(
      long nowUs, int proxy, int requestClass, long requests, long failed, long spanUs);

  /**
   * Handles the assignment of a slice to this instance, or the end of the assignment, if the
   * settings define slices.
   *
   * @param nowUs current time, in microseconds
   * @param slice the slice
   * @param assigned true if the slice was assigned, false if the assignment ended
   */
  default void onSliceAssignment(long nowUs, int slice, boolean assigned) {}

  /**
   * Handles a weight of the table of an assigned slice.
   *
   * @param nowUs current time, in microseconds
   * @param slice the slice
   * @param server the server
   * @param weight the weight of the server
   */
  default void onSliceWeight(long nowUs, int slice, long server, double weight) {}

  /**
   * Handles a usage report of a slice: the requests of a class that arrived for it within a time
   * span.
   *
   * @param nowUs current time, in microseconds
   * @param slice the slice
   * @param requestClass the request class
   * @param requests number of requests that arrived
   * @param failed number of requests that were admitted and not answered
   * @param spanUs length of the time span, in microseconds
   */
  default void onSliceUsageReport(
      long nowUs, int slice, int requestClass, long requests, long failed, long spanUs) {}

  /**
   * Ends a batch: the caller has reported all events of this instant. The policy decides and issues
   * its commands.
   *
   * @param nowUs current time, in microseconds
   */
  void onBatchEnd(long nowUs);
}
