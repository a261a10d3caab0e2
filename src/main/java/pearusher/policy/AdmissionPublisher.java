package pearusher.policy;

/**
 * Publishes admission levels and retry modes. They belong to tables, so that they outlast a crash:
 * a level for all proxies would be lifted by a new instance's first message.
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

  /** Publishes the levels that changed, as far as the channel has room. */
  void publish() {
    fleet.tables().all().forEach(this::publish);
  }

  private void publish(int tableNumber, ZoneTable table) {
    for (int requestClass = 0; requestClass < admission.classCount(); requestClass++) {
      if (fleet.proxies().isAnyNearMessageLimit(table.followers)) {
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
    if (changed && channel.reserve(table.followers, 1, ChannelPriority.TIMELY)) {
      commands.setAdmission(tableNumber, 1 << requestClass, level, retryMode);
      table.recordAdmission(requestClass, level, retryMode);
    }
  }

  private static boolean isChanged(double level, double published) {
    boolean passedHysteresis =
        Math.abs(level - published) > WeightPublisher.HYSTERESIS * Math.min(level, published);
    boolean lifted = level != published && (level == 1 || level == AdmissionLevels.NO_LIMIT);
    return passedHysteresis || lifted;
  }
}
