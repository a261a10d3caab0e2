package pearusher.policy;

/**
 * Publishes admission levels and retry modes as part of tables, so that they stay in force after a
 * crash of an assigner. A level published to all proxies would be lifted by the first message of a
 * new instance.
 */
final class AdmissionPublisher {
  private final PolicyCommands commands;
  private final FleetState fleet;
  private final ChannelBudget channel;
  private final AdmissionLevels admission;
  private final RetryPolicy retryPolicy;

  AdmissionPublisher(
      PolicyCommands commands,
      FleetState fleet,
      ChannelBudget channel,
      AdmissionLevels admission,
      RetryPolicy retryPolicy) {
    this.commands = commands;
    this.fleet = fleet;
    this.channel = channel;
    this.admission = admission;
    this.retryPolicy = retryPolicy;
  }

  /**
   * Publishes the levels and retry modes that changed, as far as the capacity of the channel
   * allows.
   */
  void publish() {
    fleet.tables().all().forEach(this::publish);
  }

  private void publish(int tableNumber, ZoneTable table) {
    for (int requestClass = 0; requestClass < admission.classCount(); requestClass++) {
      if (fleet.proxies().isAnyNearMessageLimit(table.subscribers)) {
        return;
      }
      publishClass(tableNumber, table, requestClass);
    }
  }

  private void publishClass(int tableNumber, ZoneTable table, int requestClass) {
    double level = admission.level(requestClass);
    int retryMode = retryPolicy.mode();
    boolean changed =
        isChanged(level, table.admissionLevels[requestClass])
            || retryMode != table.retryModes[requestClass];
    if (changed && channel.reserve(table.subscribers, 1, ChannelPriority.TIMELY)) {
      commands.setAdmission(tableNumber, 1 << requestClass, level, retryMode);
      table.recordAdmission(requestClass, level, retryMode);
    }
  }

  private static boolean isChanged(double level, double published) {
    boolean exceedsHysteresis =
        Math.abs(level - published) > WeightPublisher.HYSTERESIS * Math.min(level, published);
    boolean fullAdmissionRestored =
        level != published
            && (level == 1 || level == AdmissionLevels.UNLIMITED_REQUESTS_PER_SECOND);
    return exceedsHysteresis || fullAdmissionRestored;
  }
}
