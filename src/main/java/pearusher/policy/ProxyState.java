package pearusher.policy;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.OptionalInt;

/**
 * State of one proxy. It contains no decision logic: modules read its fields and change them
 * through its methods. Memory grows with the number of request classes and of messages within the
 * window of the message limit.
 */
final class ProxyState {
  private static final double MICROS_PER_SECOND = 1e6;

  final int zone;

  /** Whether the proxy joined with tables from an earlier connection. */
  final boolean joinedWithTables;

  final long joinedUs;

  /** Whether the proxy excludes only servers that the endpoint list names as changed. */
  boolean confirmed;

  /** Estimated demand by request class, in requests per second. */
  final double[] requestsPerSecond;

  /** Time since joining that usage reports have covered, by request class, in microseconds. */
  private final double[] coveredUs;

  /** Time of the last usage report, by request class, in microseconds. */
  private final long[] lastReportUs;

  /** Whether the proxy is bound to its intended table. */
  boolean bound;

  /**
   * Whether the proxy was ever bound. It receives changes of its last table until the next bind.
   */
  boolean subscribed;

  /** Number of the last table; the zone's table before the first bind. */
  int table;

  /**
   * Lines of the zone's restored table that the proxy has not received; empty if it does not have
   * that table.
   */
  private OptionalInt missingLines = OptionalInt.empty();

  /** Times of the messages sent within the window of the message limit, in microseconds. */
  private final ArrayDeque<Long> recentMessagesUs = new ArrayDeque<>();

  ProxyState(int zone, boolean joinedWithTables, int classCount, long joinedUs) {
    this.zone = zone;
    this.joinedWithTables = joinedWithTables;
    this.joinedUs = joinedUs;
    table = zone;
    requestsPerSecond = new double[classCount];
    coveredUs = new double[classCount];
    lastReportUs = new long[classCount];
  }

  void bindTo(int tableNumber) {
    bound = true;
    subscribed = true;
    table = tableNumber;
  }

  /** Requests a new bind. Until then the proxy receives the changes of its last table. */
  void requestRebind() {
    bound = false;
  }

  /**
   * Sets the lines of the zone's restored table that the proxy has not received; empty if it does
   * not have that table.
   */
  void setMissingLines(OptionalInt lines) {
    missingLines = lines;
  }

  /** Returns and clears the missing lines, which allow one attempt to bind the proxy at once. */
  OptionalInt pollMissingLines() {
    OptionalInt lines = missingLines;
    missingLines = OptionalInt.empty();
    return lines;
  }

  /** Records that the proxy excludes only servers that the endpoint list names as changed. */
  void confirm() {
    confirmed = true;
  }

  /**
   * Returns the time between the span of the previous report of a class and that of a report which
   * arrives now, in microseconds; 0 for the first report.
   */
  double reportGapUs(long nowUs, int requestClass, long spanUs) {
    return coveredUs[requestClass] > 0 ? nowUs - lastReportUs[requestClass] - spanUs : 0;
  }

  /** Records a usage report and the additional time that it covers, in microseconds. */
  void recordReport(long nowUs, int requestClass, double newlyCoveredUs) {
    coveredUs[requestClass] += newlyCoveredUs;
    lastReportUs[requestClass] = nowUs;
  }

  /**
   * Updates the demand estimate by a report.
   *
   * @param decay weight of the previous estimate, from 0 to 1
   */
  void updateDemand(int requestClass, double decay, long requests, long spanUs) {
    requestsPerSecond[requestClass] =
        decay * requestsPerSecond[requestClass]
            + (1 - decay) * requests * MICROS_PER_SECOND / spanUs;
  }

  void recordMessage(long nowUs) {
    recentMessagesUs.add(nowUs);
  }

  /** Removes messages that have left the window of the message limit. */
  void removeExpiredMessages(long nowUs, long windowUs) {
    recentMessagesUs.removeIf(sentUs -> nowUs - sentUs >= windowUs);
  }

  int recentMessageCount() {
    return recentMessagesUs.size();
  }

  boolean hasReported() {
    return Arrays.stream(coveredUs).anyMatch(covered -> covered > 0);
  }

  double totalRequestsPerSecond() {
    return Arrays.stream(requestsPerSecond).sum();
  }

  /** Returns the time since joining that no usage report covers, in microseconds. */
  double reportLagUs(long nowUs) {
    return Math.max(0, nowUs - joinedUs - Arrays.stream(coveredUs).max().orElse(0));
  }
}
