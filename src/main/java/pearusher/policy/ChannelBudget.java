package pearusher.policy;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Accounts for the lines on the update channel to the proxies: an estimate of the backlog, the rate
 * at which it drains, and the corrections of both by acknowledgements. Grows with the updates that
 * are not acknowledged, times the recipients of each.
 */
final class ChannelBudget {
  /** Backlog, as a share of the deferrable limit, under which the channel is nearly idle. */
  private static final double NEARLY_IDLE_SHARE = 0.1;

  /** Share of the backlog limit that may be in transit without any acknowledgement. */
  private static final double MAX_UNACKNOWLEDGED_SHARE = 0.95;

  /** Least part of the estimated rate that the channel has while no acknowledgement comes. */
  private static final double SLOWEST_RATE_SHARE = 0.2;

  /** The rate is estimated as a share of the configured one. */
  private static final double MIN_RATE_SHARE = 0.05;

  private static final double RATE_DECREASE = 0.5;
  private static final double RATE_INCREASE = 1.1;

  private static final int MAX_ACK_NUMBER = 65_000;
  private static final double MICROS_PER_SECOND = 1e6;

  private final ChannelSettings channel;
  private final ChannelLimits limits;
  private final PolicyCommands commands;

  /** An update that proxies have yet to acknowledge; lines are counted since the start. */
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

  /** Lines of the update being composed, by proxy. */
  private Map<Integer, Double> currentLines = new TreeMap<>();

  /** Lines ordered before the update being composed. */
  private double linesBeforeUpdate;

  private int lastAckNumber;
  private long lastDrainUs;
  private double backlogLines;

  /** The backlog if the channel is at its slowest. */
  private double pessimisticBacklogLines;

  private double orderedLines;

  /** Lines that have left the channel according to acknowledgements. */
  private double deliveredLines;

  /** Estimated rate as a share of the configured one. */
  private double rateShare = 1;

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

  /** Continues the acknowledgement numbers of an earlier process. */
  void restoreAckNumber(int ackNumber) {
    lastAckNumber = ackNumber;
  }

  /** Begins an update: counts off what has drained since the last one. */
  void beginUpdate(long nowUs) {
    double drainedLines =
        (nowUs - lastDrainUs) / MICROS_PER_SECOND * channel.linesPerSecond() * rateShare;
    backlogLines = Math.max(0, backlogLines - drainedLines);
    pessimisticBacklogLines =
        Math.max(0, pessimisticBacklogLines - drainedLines * SLOWEST_RATE_SHARE);
    lastDrainUs = nowUs;
    currentLines = new TreeMap<>();
    if (pessimisticBacklogLines == 0) {
      // Acknowledgements may all be lost: in the end nothing can be in transit.
      deliveredLines = orderedLines;
    }
    pendingUpdates.removeIf(update -> update.linesAfter <= deliveredLines);
    linesBeforeUpdate = orderedLines;
  }

  /**
   * Ends an update, and requests its acknowledgement if it has lines.
   *
   * @return the recipients of the update
   */
  Set<Integer> finishUpdate() {
    if (!currentLines.isEmpty()) {
      lastAckNumber = lastAckNumber % MAX_ACK_NUMBER + 1;
      commands.requestAck(lastAckNumber, false);
      pendingUpdates.add(
          new PendingUpdate(
              lastAckNumber, linesBeforeUpdate, orderedLines, backlogLines, currentLines));
    }
    return currentLines.keySet();
  }

  void onAcknowledgement(int proxy, int ackNumber, long tookUs) {
    // The channel keeps the order: what was ordered before this update was delivered as well.
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

  /** An acknowledgement later than the longest delay shows that the channel is slower. */
  private void updateRate(double linesAhead, long tookUs) {
    double nominalUs = linesAhead / channel.linesPerSecond() * MICROS_PER_SECOND;
    double drainUs = tookUs - channel.maxPushDelayUs();
    if (drainUs > nominalUs / rateShare) {
      rateShare =
          Math.max(MIN_RATE_SHARE, Math.max(rateShare * RATE_DECREASE, nominalUs / drainUs));
    } else if (tookUs < channel.maxPushDelayUs() + nominalUs) {
      rateShare = Math.min(1, rateShare * RATE_INCREASE);
    }
  }

  /**
   * Reserves lines to each of the proxies if they all fit.
   *
   * @return whether they fitted
   */
  boolean reserve(Collection<Integer> proxies, double linesEach, ChannelPriority priority) {
    double overhead = channel.messageOverheadLines() + 1;
    double cost =
        proxies.stream()
            .mapToDouble(id -> linesEach + (currentLines.containsKey(id) ? 0 : overhead))
            .sum();
    if (!fits(cost, priority)) {
      return false;
    }
    backlogLines += cost;
    orderedLines += cost;
    pessimisticBacklogLines += cost;
    proxies.forEach(id -> currentLines.merge(id, linesEach, Double::sum));
    return true;
  }

  boolean fits(double lines, ChannelPriority priority) {
    if (lines <= 0) {
      return true;
    }
    // The channel may be slower than configured, which acknowledgements show late.
    double unacknowledged = Math.min(pessimisticBacklogLines, orderedLines - deliveredLines);
    return backlogLines + lines <= limits.maxWaitingLines(priority)
        && unacknowledged + lines <= MAX_UNACKNOWLEDGED_SHARE * channel.maxBacklogLines();
  }

  /** Time until the backlog has drained. */
  double drainTimeUs() {
    return backlogLines / channel.linesPerSecond() / rateShare * MICROS_PER_SECOND;
  }

  double backlogLines() {
    return backlogLines;
  }

  /** Whether so little waits that messages up to the deferrable limit are worth their overhead. */
  boolean isNearlyIdle() {
    ChannelPriority deferrable = ChannelPriority.DEFERRABLE;
    return backlogLines
        < NEARLY_IDLE_SHARE * limits.maxWaitingLines(deferrable) / deferrable.backlogShare;
  }

  /** Whether the update being composed has lines already. */
  boolean hasCurrentLines() {
    return !currentLines.isEmpty();
  }
}
