package pearusher.policy;

/** What the update channel can carry: how much may wait, and how much arrives within a time. */
final class ChannelLimits {
  /** Share of the lines within a grace that may be planned for what must arrive in it. */
  static final double TIMELY_GRACE_SHARE = 0.8;

  /** Lines of a bind beside servers and levels: the bind, and the message's end. */
  static final int FIXED_BIND_LINES = 2;

  /** Bounds of the share of the grace's lines up to which all but ejections may wait. */
  private static final double MIN_GRACE_SHARE = 0.1;

  private static final double MAX_GRACE_SHARE = 0.3;

  /** Messages, and lines beside the levels, that each proxy needs when all join at once. */
  private static final double JOIN_MESSAGES = 2.5;

  private static final int JOIN_LINES = 4;

  private static final double MICROS_PER_SECOND = 1e6;

  private final ChannelSettings channel;
  private final long drainGraceUs;
  private final int proxies;
  private final int classCount;

  /**
   * Creates the limits of a channel.
   *
   * @param drainGraceUs the grace of a drain, in microseconds
   * @param proxies proxies of the tier, over all instances
   * @param classCount number of request classes
   */
  ChannelLimits(ChannelSettings channel, long drainGraceUs, int proxies, int classCount) {
    this.channel = channel;
    this.drainGraceUs = drainGraceUs;
    this.proxies = proxies;
    this.classCount = classCount;
  }

  /**
   * The most lines that may wait at a priority. What is not an ejection leaves room for what must
   * arrive within the grace if all proxies join at once while servers drain.
   */
  double maxWaitingLines(ChannelPriority priority) {
    return Math.min(
        priority.backlogShare * channel.maxBacklogLines(), graceShare(priority) * graceLines());
  }

  private double graceShare(ChannelPriority priority) {
    return switch (priority) {
      case EJECTION -> priority.backlogShare;
      case REINSTATEMENT -> Math.min(MAX_GRACE_SHARE, priority.backlogShare);
      case TIMELY, DEFERRABLE -> Math.min(MAX_GRACE_SHARE, shareBesideJoiners());
    };
  }

  private double shareBesideJoiners() {
    double linesPerJoiner =
        JOIN_MESSAGES * channel.messageOverheadLines() + JOIN_LINES + classCount;
    double joinersShare = proxies * linesPerJoiner / graceLines();
    return Math.max(MIN_GRACE_SHARE, ChannelPriority.EJECTION.backlogShare - joinersShare);
  }

  /** Lines that reach proxies within the grace of a drain. */
  double graceLines() {
    return nominalLines(drainGraceUs - channel.maxPushDelayUs());
  }

  /** Lines that the channel carries in a time at its configured rate. */
  double nominalLines(long durationUs) {
    return durationUs / MICROS_PER_SECOND * channel.linesPerSecond();
  }

  /** Lines of a message with that many lines of content; none where it has no content. */
  double messageLines(long contentLines) {
    return contentLines == 0 ? 0 : contentLines + channel.messageOverheadLines() + 1;
  }

  /** Lines of a bind's message that are left for servers. */
  double linesForServers(double bindLines) {
    return bindLines - channel.messageOverheadLines() - FIXED_BIND_LINES - classCount;
  }
}
