package pearusher.policy;

/** Urgency of a message, which determines the share of the backlog limit that it may use. */
enum ChannelPriority {
  /** Weights, and binds of proxies that are already bound to a table. */
  DEFERRABLE(0.5),
  /** Reinstatements. */
  REINSTATEMENT(0.6),
  /** Admission levels, first binds, and lower weights of servers in slow start. */
  TIMELY(0.8),
  /** Ejections, and binds during a join surge. */
  EJECTION(0.9);

  final double backlogShare;

  ChannelPriority(double backlogShare) {
    this.backlogShare = backlogShare;
  }
}
