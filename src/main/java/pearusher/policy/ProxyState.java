package pearusher.policy;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.OptionalInt;

/** State of one proxy; it decides nothing. Grows with the request classes. */
final class ProxyState {
  final int zone;

  /** Whether it joined with tables that an earlier connection had published. */
  final boolean holdsTables;

  final long joinedUs;

  /** Whether it excludes only servers that the endpoint list names as changed. */
  boolean confirmed;

  /** By request class. */
  final double[] requestsPerSecond;

  /** Time since joining that its usage reports have covered, by request class. */
  final double[] coveredUs;

  /** Time of the last usage report, by request class. */
  final long[] lastReportUs;

  /** Whether it is bound to the table that it should have. */
  boolean bound;

  /** Whether it was ever bound: changes of its last table reach it until the next bind. */
  boolean followsTable;

  int table;

  /**
   * Lines of its zone's table that it lacks, as known when it joined; empty: it holds another one.
   */
  OptionalInt missingLines = OptionalInt.empty();

  /** When messages were sent to it, within the window of the message limit. */
  final ArrayDeque<Long> recentMessagesUs = new ArrayDeque<>();

  ProxyState(int zone, boolean holdsTables, int classCount, long joinedUs) {
    this.zone = zone;
    this.holdsTables = holdsTables;
    this.joinedUs = joinedUs;
    table = zone;
    requestsPerSecond = new double[classCount];
    coveredUs = new double[classCount];
    lastReportUs = new long[classCount];
  }

  void bindTo(int tableNumber) {
    bound = true;
    followsTable = true;
    table = tableNumber;
  }

  /** Asks for a new bind; until then its last table's changes reach it. */
  void requestRebind() {
    bound = false;
  }

  boolean hasReported() {
    return Arrays.stream(coveredUs).anyMatch(covered -> covered > 0);
  }

  double totalRequestsPerSecond() {
    return Arrays.stream(requestsPerSecond).sum();
  }

  /** Time since joining that no usage report covers. */
  double reportLagUs(long nowUs) {
    return Math.max(0, nowUs - joinedUs - Arrays.stream(coveredUs).max().orElse(0));
  }
}
