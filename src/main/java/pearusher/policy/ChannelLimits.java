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
