package pearusher.policy;

/** Limits of the update channel: the largest backlog, and the lines that arrive within a time. */
final class ChannelLimits {
  /** Share of the lines of a drain grace period that is planned for messages due within it. */
  static final double TIMELY_DRAIN_GRACE_SHARE = 0.8;

  /** Lines of a bind besides servers and admission levels: the bind itself and the message end. */
  static final int FIXED_BIND_LINES = 2;

  /**
   * Bounds of the backlog limit for everything except ejections, as a share of the lines of a drain
   * grace period.
   */
  private static final double MIN_DRAIN_GRACE_SHARE = 0.1;

  private static final double MAX_DRAIN_GRACE_SHARE = 0.3;

  /** Share of the backlog limit that may be in transit without an acknowledgement. */
  private static final double MAX_UNACKNOWLEDGED_SHARE = 0.95;

  /**
   * Largest size of messages that are accepted beyond the limit of their priority, in multiples of
   * their overhead.
   */
  private static final double MAX_LINES_PER_OVERHEAD_LINE = 2;

  /**
   * Size of such messages that is accepted whatever part of a drain grace period they take, in
   * multiples of the update that exceeds the limit by itself.
   */
  private static final double MAX_LINES_PER_OVERSIZED_LINE = 1.25;

  /**
   * Backlog below which the channel is nearly idle, as a share of the deferrable limit divided by
   * the deferrable priority's backlog share.
   */
  private static final double NEARLY_IDLE_SHARE = 0.1;

  /** Messages per proxy, and lines besides admission levels, when all proxies join at once. */
  private static final double MESSAGES_PER_JOIN = 2.5;

  private static final int LINES_PER_JOIN = 4;

  private static final double MICROS_PER_SECOND = 1e6;

  private final ChannelSettings channel;
  private final long drainGraceUs;
  private final int proxies;
  private final int classCount;

  /**
   * Creates the limits of a channel.
   *
   * @param channel the settings of the channel
   * @param drainGraceUs length of the drain grace period, in microseconds
   * @param proxies number of proxies of the tier, over all instances
   * @param classCount number of request classes
   */
  ChannelLimits(ChannelSettings channel, long drainGraceUs, int proxies, int classCount) {
    this.channel = channel;
    this.drainGraceUs = drainGraceUs;
    this.proxies = proxies;
    this.classCount = classCount;
  }

  /**
   * Returns the largest backlog up to which messages of a priority are accepted, in lines. Limits
   * of priorities below ejections reserve capacity for the case that all proxies join at once while
   * servers drain: their messages must arrive within the drain grace period.
   */
  double maxBacklogLines(ChannelPriority priority) {
    return Math.min(
        priority.backlogShare * channel.maxBacklogLines(),
        drainGraceShare(priority) * drainGraceLines());
  }

  /**
   * Returns the largest backlog up to which an update is accepted, in lines. An update that exceeds
   * the limit of its priority by itself would never be sent: it is accepted while the channel is
   * nearly idle, together with further lines for the same proxies, which share its messages.
   *
   * @param proxies number of proxies that receive the update
   * @param linesEach content lines for each proxy
   */
  double maxBacklogLines(ChannelPriority priority, int proxies, double linesEach) {
    double priorityLimit = maxBacklogLines(priority);
    if (fitsIdleChannel(priority, proxies, linesEach)) {
      return priorityLimit;
    }
    double overheadLines = proxies * (channel.messageOverheadLines() + 1);
    double updateLines = updateLines(proxies, linesEach);
    double sharedMessageLines =
        Math.min(
            MAX_LINES_PER_OVERHEAD_LINE * overheadLines,
            Math.max(maxSharedMessageLines(priority), MAX_LINES_PER_OVERSIZED_LINE * updateLines));
    return Math.max(updateLines + nearlyIdleLines(), sharedMessageLines);
  }

  private double maxSharedMessageLines(ChannelPriority priority) {
    return Math.min(
        priority.backlogShare * channel.maxBacklogLines(),
        MAX_DRAIN_GRACE_SHARE * drainGraceLines());
  }

  /** Returns whether an update is within the limit of its priority while the channel is idle. */
  boolean fitsIdleChannel(ChannelPriority priority, int proxies, double linesEach) {
    return updateLines(proxies, linesEach) <= maxBacklogLines(priority);
  }

  /** Returns whether an update exceeds what the channel may hold, whatever its priority. */
  boolean exceedsChannel(int proxies, double linesEach) {
    return updateLines(proxies, linesEach) > maxUnacknowledgedLines();
  }

  /**
   * Returns the content lines for each of some proxies that an update may have within the limit of
   * its priority; at least 1.
   */
  long maxLinesEach(ChannelPriority priority, int proxies) {
    double linesEach = maxBacklogLines(priority) / Math.max(1, proxies) - updateLines(1, 0);
    return (long) Math.max(1, linesEach);
  }

  /** Returns the lines of an update to proxies that get no other lines at the same time. */
  double updateLines(int proxies, double linesEach) {
    return proxies * (linesEach + channel.messageOverheadLines() + 1);
  }

  /** Returns the largest number of lines that may be in transit without an acknowledgement. */
  double maxUnacknowledgedLines() {
    return MAX_UNACKNOWLEDGED_SHARE * channel.maxBacklogLines();
  }

  /**
   * Returns the backlog below which the channel is nearly idle, in lines: messages up to the
   * deferrable limit then justify their overhead.
   */
  double nearlyIdleLines() {
    ChannelPriority deferrable = ChannelPriority.DEFERRABLE;
    return NEARLY_IDLE_SHARE * maxBacklogLines(deferrable) / deferrable.backlogShare;
  }

  private double drainGraceShare(ChannelPriority priority) {
    return switch (priority) {
      case EJECTION -> priority.backlogShare;
      case REINSTATEMENT -> Math.min(MAX_DRAIN_GRACE_SHARE, priority.backlogShare);
      case TIMELY, DEFERRABLE -> Math.min(MAX_DRAIN_GRACE_SHARE, shareExcludingJoins());
    };
  }

  private double shareExcludingJoins() {
    double linesPerJoin =
        MESSAGES_PER_JOIN * channel.messageOverheadLines() + LINES_PER_JOIN + classCount;
    double joinsShare = proxies * linesPerJoin / drainGraceLines();
    return Math.max(MIN_DRAIN_GRACE_SHARE, ChannelPriority.EJECTION.backlogShare - joinsShare);
  }

  /** Returns the number of lines that reach proxies within the drain grace period. */
  double drainGraceLines() {
    return nominalLines(drainGraceUs - channel.maxPushDelayUs());
  }

  /** Returns the number of lines that the channel carries in a time at its configured rate. */
  double nominalLines(long durationUs) {
    return durationUs / MICROS_PER_SECOND * channel.linesPerSecond();
  }

  /** Returns the total lines of a message with this many content lines; 0 without content. */
  double messageLines(long contentLines) {
    return contentLines == 0 ? 0 : contentLines + channel.messageOverheadLines() + 1;
  }

  /** Returns the lines available for servers in a bind message of this many lines. */
  double linesForServers(double bindLines) {
    return bindLines - channel.messageOverheadLines() - FIXED_BIND_LINES - classCount;
  }
}
