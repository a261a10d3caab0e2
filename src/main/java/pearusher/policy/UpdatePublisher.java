package pearusher.policy;

/**
 * Publishes what was decided, in the order of its urgency: binds of proxies that hold their table,
 * ejections, admission levels, reinstatements, binds, and weights. What does not fit into the
 * channel is retried soon.
 */
final class UpdatePublisher {
  /** Share of a control period after which what did not fit is retried. */
  private static final double RETRY_AFTER_PERIODS = 0.1;

  private final PolicySettings settings;
  private final PolicyCommands commands;
  private final FleetState fleet;
  private final ChannelBudget channel;
  private final EjectionQueue ejections;
  private final RestartHold hold;
  private final SubsetAssignment subsets;
  private final JoinSurge surge;
  private final WeightPublisher weights;
  private final AdmissionPublisher admissionPublisher;
  private final EjectionPublisher ejectionPublisher;
  private final ReinstatementPublisher reinstatementPublisher;
  private final ProxyBinder binder;

  private boolean retryScheduled;

  /** Whether binds from subsets to zones precede weights: they alternate. */
  private boolean bindsPreferred;

  UpdatePublisher(
      PolicySettings settings,
      PolicyCommands commands,
      FleetState fleet,
      ChannelBudget channel,
      EjectionQueue ejections,
      RestartHold hold,
      DecidedState decided) {
    this.settings = settings;
    this.commands = commands;
    this.fleet = fleet;
    this.channel = channel;
    this.ejections = ejections;
    this.hold = hold;
    subsets = decided.subsets();
    weights = decided.weights();
    surge = new JoinSurge(settings, fleet, channel, hold, subsets);
    admissionPublisher =
        new AdmissionPublisher(
            commands, fleet, channel, decided.admission(), decided.retryPolicy());
    ejectionPublisher =
        new EjectionPublisher(settings, commands, fleet, channel, ejections, surge, weights);
    reinstatementPublisher =
        new ReinstatementPublisher(commands, fleet, channel, ejections, weights);
    binder = new ProxyBinder(commands, fleet, channel, weights, hold, surge, subsets);
  }

  /** The modules whose decisions are published. */
  record DecidedState(
      AdmissionLevels admission,
      RetryPolicy retryPolicy,
      SubsetAssignment subsets,
      WeightPublisher weights) {}

  void onTimer() {
    retryScheduled = false;
  }

  /** Publishes as much as the channel has room for, as one update for each proxy. */
  void publish(long nowUs) {
    channel.beginUpdate(nowUs);
    fleet.proxies().dropOldMessages(nowUs);
    binder.bindRestored();
    binder.refreshFollowers();
    hold.forwardEjections(nowUs, ejections);
    surge.update(nowUs);
    // A surge's binds are published first: a proxy that is bound needs fewer ejections.
    boolean complete = !surge.isActive() || binder.bindWaiting();
    publishEjections(nowUs);
    complete &= !ejections.hasEjections() && publishDeferrable();
    if (!complete) {
      scheduleRetry();
    }
    channel.finishUpdate().forEach(proxy -> fleet.proxies().onMessageSent(nowUs, proxy));
  }

  private void publishEjections(long nowUs) {
    boolean late = ejectionPublisher.publish(nowUs);
    // Ejections that would be late cost more than binds to subsets, which need none.
    if (late
        && subsets.isInUse()
        && ejections.ejectionCount() > 1 + fleet.scope().servers().size() / subsets.count()) {
      fleet.proxies().all().stream()
          .filter(proxy -> !fleet.tables().isSubsetTable(proxy.table))
          .forEach(ProxyState::requestRebind);
    }
  }

  /**
   * Publishes what waits while ejections are pending.
   *
   * @return whether all is published
   */
  private boolean publishDeferrable() {
    boolean wasNearlyIdle = channel.isNearlyIdle();
    admissionPublisher.publish();
    boolean hasMessages = channel.hasCurrentLines();
    if (hasMessages || channel.isNearlyIdle()) {
      reinstatementPublisher.publish();
    }
    boolean complete = binder.bindWaiting() && !ejections.hasReinstatements();
    if (subsets.isInUse() && !surge.isActive() && channel.isNearlyIdle()) {
      bindsPreferred = !bindsPreferred;
      complete &= bindsPreferred && binder.bindFromSubsetsToZones();
    }
    // Weights share the messages of levels: in an overload the channel may never be nearly idle.
    boolean sharesMessages = wasNearlyIdle && hasMessages;
    if (weights.isPending() && (sharesMessages || channel.isNearlyIdle())) {
      weights.publishPending();
    }
    return complete && !weights.isPending();
  }

  private void scheduleRetry() {
    if (!retryScheduled) {
      retryScheduled = true;
      commands.setTimer(
          (long) (RETRY_AFTER_PERIODS * settings.controlPeriodUs()), PolicyTimer.PUBLISH.token);
    }
  }
}
