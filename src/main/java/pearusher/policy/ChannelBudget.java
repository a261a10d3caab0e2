package pearusher.policy;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Accounting of the lines on the update channel to the proxies. It estimates the backlog and the
 * rate at which the backlog drains, and corrects both by acknowledgements. Memory grows with the
 * number of unacknowledged updates times the recipients of each.
 */
final class ChannelBudget {
  /**
   * Lower bound of the channel's rate without acknowledgements, as a share of the estimated rate.
   */
  private static final double SLOWEST_RATE_SHARE = 0.2;

  /** Lower bound of the estimated rate, as a share of the configured rate. */
  private static final double MIN_RATE_SHARE = 0.05;

  private static final double RATE_DECREASE_FACTOR = 0.5;
  private static final double RATE_INCREASE_FACTOR = 1.1;

  private static final int MAX_ACK_NUMBER = 65_000;
  private static final double MICROS_PER_SECOND = 1e6;

  private final ChannelSettings channel;
  private final ChannelLimits limits;
  private final PolicyCommands commands;

  /**
   * An update that not all recipients have acknowledged. Line positions count from the start of the
   * process.
   */
  private static final class PendingUpdate {
    final int ackNumber;
    final double linesBefore;
    final double linesAfter;
    final double backlogLines;
    final Map<Integer, Double> linesByProxy;
    double acknowledgedLines;

    PendingUpdate(
        int ackNumber,
        double linesBefore,
        double linesAfter,
        double backlogLines,
        Map<Integer, Double> linesByProxy) {
      this.ackNumber = ackNumber;
      this.linesBefore = linesBefore;
      this.linesAfter = linesAfter;
      this.backlogLines = backlogLines;
      this.linesByProxy = linesByProxy;
    }
  }

  private final ArrayDeque<PendingUpdate> pendingUpdates = new ArrayDeque<>();

  /** Content lines of the update being composed, by proxy. */
  private Map<Integer, Double> currentLines = new TreeMap<>();

  /** Lines reserved before the update being composed. */
  private double reservedLinesBeforeUpdate;

  private int lastAckNumber;
  private long lastDrainUs;
  private double backlogLines;

  /** Backlog under the assumption that the channel drains at its lowest rate. */
  private double pessimisticBacklogLines;

  /** Lines reserved since the start of the process. */
  private double reservedLines;

  /** Lines delivered since the start of the process, according to acknowledgements. */
  private double deliveredLines;

  /** Estimated rate, as a share of the configured rate. */
  private double rateShare = 1;

  /** Number of refused updates that exceed the channel even while it is idle. */
  private long oversizedUpdates;

  ChannelBudget(ChannelSettings channel, ChannelLimits limits, PolicyCommands commands) {
    this.channel = channel;
    this.limits = limits;
    this.commands = commands;
  }

  ChannelLimits limits() {
    return limits;
  }

  void start(long nowUs) {
    lastDrainUs = nowUs;
  }

  /** Restores the last acknowledgement number of an earlier process. */
  void restoreAckNumber(int ackNumber) {
    lastAckNumber = ackNumber;
  }

  /** Begins an update and subtracts the lines that have drained since the previous update. */
  void beginUpdate(long nowUs) {
    double drainedLines =
        (nowUs - lastDrainUs) / MICROS_PER_SECOND * channel.linesPerSecond() * rateShare;
    backlogLines = Math.max(0, backlogLines - drainedLines);
    pessimisticBacklogLines =
        Math.max(0, pessimisticBacklogLines - drainedLines * SLOWEST_RATE_SHARE);
    lastDrainUs = nowUs;
    currentLines = new TreeMap<>();
    if (pessimisticBacklogLines == 0) {
      // All acknowledgements may be lost. Even at the lowest rate everything has been delivered.
      deliveredLines = reservedLines;
    }
    pendingUpdates.removeIf(update -> update.linesAfter <= deliveredLines);
    reservedLinesBeforeUpdate = reservedLines;
  }

  /**
   * Ends an update and requests an acknowledgement if the update has lines.
   *
   * @return the recipients of the update
   */
  Set<Integer> finishUpdate() {
    if (!currentLines.isEmpty()) {
      lastAckNumber = lastAckNumber % MAX_ACK_NUMBER + 1;
      commands.requestAck(lastAckNumber, false);
      pendingUpdates.add(
          new PendingUpdate(
              lastAckNumber, reservedLinesBeforeUpdate, reservedLines, backlogLines, currentLines));
    }
    return currentLines.keySet();
  }

  void onAcknowledgement(int proxy, int ackNumber, long tookUs) {
    // The channel preserves the order: all lines reserved before this update are delivered, too.
    pendingUpdates.stream()
        .filter(update -> update.ackNumber == ackNumber)
        .filter(update -> update.linesByProxy.containsKey(proxy))
        .forEach(
            update -> {
              double contentLines = update.linesByProxy.remove(proxy);
              update.acknowledgedLines += contentLines + channel.messageOverheadLines() + 1;
              deliveredLines =
                  Math.max(deliveredLines, update.linesBefore + update.acknowledgedLines);
              updateRate(update.backlogLines, tookUs);
            });
  }

  /**
   * Lowers the estimated rate if an acknowledgement took longer than the estimated drain time plus
   * the longest transit time, and raises it if the acknowledgement was faster than the configured
   * rate implies.
   */
  private void updateRate(double linesAhead, long tookUs) {
    double nominalUs = linesAhead / channel.linesPerSecond() * MICROS_PER_SECOND;
    double drainUs = tookUs - channel.maxPushDelayUs();
    if (drainUs > nominalUs / rateShare) {
      rateShare =
          Math.max(MIN_RATE_SHARE, Math.max(rateShare * RATE_DECREASE_FACTOR, nominalUs / drainUs));
    } else if (tookUs < channel.maxPushDelayUs() + nominalUs) {
      rateShare = Math.min(1, rateShare * RATE_INCREASE_FACTOR);
    }
  }

  /**
   * Reserves lines for each of the proxies if all of them fit within the limits of the priority. A
   * proxy without lines in this update is also charged the fixed lines of a message. Lines that
   * exceed the limits of the priority by themselves fit while the channel is nearly idle; lines
   * that exceed the channel by themselves never fit, which is logged.
   *
   * @return whether the lines were reserved
   */
  boolean reserve(Collection<Integer> proxies, double linesEach, ChannelPriority priority) {
    double overhead = channel.messageOverheadLines() + 1;
    double cost =
        proxies.stream()
            .mapToDouble(id -> linesEach + (currentLines.containsKey(id) ? 0 : overhead))
            .sum();
    if (!fits(cost, limits.maxBacklogLines(priority, proxies.size(), linesEach))) {
      logIfOversized(proxies.size(), linesEach);
      return false;
    }
    backlogLines += cost;
    reservedLines += cost;
    pessimisticBacklogLines += cost;
    proxies.forEach(id -> currentLines.merge(id, linesEach, Double::sum));
    return true;
  }

  private void logIfOversized(int proxies, double linesEach) {
    if (!limits.exceedsChannel(proxies, linesEach)) {
      return;
    }
    oversizedUpdates++;
    if (Long.bitCount(oversizedUpdates) == 1) {
      commands.log(
          String.format(
              Locale.ROOT,
              "update channel too small: %d updates deferred so far, the last: %.0f lines for %d"
                  + " proxies, of %.0f that the channel holds",
              oversizedUpdates,
              limits.updateLines(proxies, linesEach),
              proxies,
              limits.maxUnacknowledgedLines()));
    }
  }

  /** Returns whether the channel accepts this many lines at the priority. */
  boolean fits(double lines, ChannelPriority priority) {
    return fits(lines, limits.maxBacklogLines(priority));
  }

  private boolean fits(double lines, double maxBacklogLines) {
    if (lines <= 0) {
      return true;
    }
    // The channel may be slower than configured; acknowledgements show this only later.
    double unacknowledged = Math.min(pessimisticBacklogLines, reservedLines - deliveredLines);
    return backlogLines + lines <= maxBacklogLines
        && unacknowledged + lines <= limits.maxUnacknowledgedLines();
  }

  /** Returns the estimated time until the backlog has drained, in microseconds. */
  double drainTimeUs() {
    return backlogLines / channel.linesPerSecond() / rateShare * MICROS_PER_SECOND;
  }

  double backlogLines() {
    return backlogLines;
  }

  /**
   * Returns whether the backlog is so small that messages up to the deferrable limit justify their
   * overhead.
   */
  boolean isNearlyIdle() {
    return backlogLines < limits.nearlyIdleLines();
  }

  /** Returns whether the update being composed already has lines. */
  boolean hasCurrentLines() {
    return !currentLines.isEmpty();
  }
}
