package pearusher.policy;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.OptionalInt;

/**
 * State of one proxy. It decides nothing: modules read its fields and change them by its methods.
 * Grows with the request classes.
 */
final class ProxyState {
  private static final double MICROS_PER_SECOND = 1e6;

  final int zone;

  /** Whether it joined with tables that an earlier connection had published. */
  final boolean holdsTables;

  final long joinedUs;

  /** Whether it excludes only servers that the endpoint list names as changed. */
  boolean confirmed;

  /** By request class. */
  final double[] requestsPerSecond;

  /** Time since joining that its usage reports have covered, by request class. */
  private final double[] coveredUs;

  /** Time of the last usage report, by request class. */
  private final long[] lastReportUs;

  /** Whether it is bound to the table that it should have. */
  boolean bound;

  /** Whether it was ever bound: changes of its last table reach it until the next bind. */
  boolean followsTable;

  int table;

  /** Lines of its zone's restored table that it lacks; empty: it does not hold that table. */
  private OptionalInt missingLines = OptionalInt.empty();

  /** When messages were sent to it, within the window of the message limit. */
  private final ArrayDeque<Long> recentMessagesUs = new ArrayDeque<>();

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

  /** Records what it lacks of its zone's restored table; empty: it does not hold that table. */
  void holdRestoredTable(OptionalInt lackedLines) {
    missingLines = lackedLines;
  }

  /** Returns what it lacks of its zone's restored table, for one attempt to bind it at once. */
  OptionalInt takeMissingLines() {
    OptionalInt taken = missingLines;
    missingLines = OptionalInt.empty();
    return taken;
  }

  /** Records that it excludes only servers that the endpoint list names as changed. */
  void confirm() {
    confirmed = true;
  }

  /** Time between the spans of the last two reports of a class; 0 at the first report. */
  double reportGapUs(long nowUs, int requestClass, long spanUs) {
    return coveredUs[requestClass] > 0 ? nowUs - lastReportUs[requestClass] - spanUs : 0;
  }

  /** Records a usage report that covers a time. */
  void recordReport(long nowUs, int requestClass, double newlyCoveredUs) {
    coveredUs[requestClass] += newlyCoveredUs;
    lastReportUs[requestClass] = nowUs;
  }

  /**
   * Blends a reported demand into the estimate.
   *
   * @param decay weight of the estimate so far, from 0 to 1
   */
  void updateDemand(int requestClass, double decay, long requests, long spanUs) {
    requestsPerSecond[requestClass] =
        decay * requestsPerSecond[requestClass]
            + (1 - decay) * requests * MICROS_PER_SECOND / spanUs;
  }

  void recordMessage(long nowUs) {
    recentMessagesUs.add(nowUs);
  }

  /** Drops messages that left the window of the message limit. */
  void dropMessagesBefore(long nowUs, long windowUs) {
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

  /** Time since joining that no usage report covers. */
  double reportLagUs(long nowUs) {
    return Math.max(0, nowUs - joinedUs - Arrays.stream(coveredUs).max().orElse(0));
  }
}
