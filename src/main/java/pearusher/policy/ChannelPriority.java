package pearusher.policy;

/** How urgent a message is: the share of the channel's backlog limit that it may fill. */
enum ChannelPriority {
  /** Weights, and binds of proxies that already have a table. */
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
