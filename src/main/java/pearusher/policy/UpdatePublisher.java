package pearusher.policy;

/**
 * Publisher of the decided changes, in the order of their urgency: binds of proxies that already
 * have their table, ejections, admission levels, reinstatements, other binds, and weights. Changes
 * that do not fit into the channel are retried after a short delay.
 */
final class UpdatePublisher {
  /** Delay until changes that did not fit are retried, in control periods. */
  private static final double RETRY_DELAY_CONTROL_PERIODS = 0.1;

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

  /** Whether binds from subsets to zones precede weights. The precedence alternates. */
  private boolean bindsPreferred;

  UpdatePublisher(
      PolicySettings settings,
      PolicyCommands commands,
      FleetState fleet,
      ChannelBudget channel,
      EjectionQueue ejections,
      RestartHold hold,
      DecisionModules decisions) {
    this.settings = settings;
    this.commands = commands;
    this.fleet = fleet;
    this.channel = channel;
    this.ejections = ejections;
    this.hold = hold;
    subsets = decisions.subsets();
    weights = decisions.weights();
    surge = new JoinSurge(settings, fleet, channel, hold, subsets);
    admissionPublisher =
        new AdmissionPublisher(
            commands, fleet, channel, decisions.admission(), decisions.retryPolicy());
    ejectionPublisher =
        new EjectionPublisher(settings, commands, fleet, channel, ejections, surge, weights);
    reinstatementPublisher =
        new ReinstatementPublisher(commands, fleet, channel, ejections, weights);
    binder = new ProxyBinder(commands, fleet, channel, weights, hold, surge, subsets);
  }

  /** The modules whose decisions are published. */
  record DecisionModules(
      AdmissionLevels admission,
      RetryPolicy retryPolicy,
      SubsetAssignment subsets,
      WeightPublisher weights) {}

  void onTimer() {
    retryScheduled = false;
  }

  /** Publishes the changes that fit into the channel, as one update for each proxy. */
  void publish(long nowUs) {
    channel.beginUpdate(nowUs);
    fleet.proxies().removeExpiredMessages(nowUs);
    binder.bindRestored();
    binder.refreshSubscribers();
    hold.forwardEjections(nowUs, ejections);
    surge.update(nowUs);
    // Binds of a join surge are published first, since a bound proxy needs fewer ejections.
    boolean complete = !surge.isActive() || binder.bindWaiting();
    publishEjections(nowUs);
    // An ejection that exceeds the channel may fit once more proxies are bound.
    if (ejectionPublisher.isAnyWaitingForChannel()) {
      complete = false;
    } else {
      complete &= publishDeferrable() && !ejections.hasEjections();
    }
    if (!complete) {
      scheduleRetry();
    }
    channel.finishUpdate().forEach(proxy -> fleet.proxies().onMessageSent(nowUs, proxy));
  }

  private void publishEjections(long nowUs) {
    boolean late = ejectionPublisher.publish(nowUs);
    // Ejections that would be late cost more lines than binds to subsets, which need no ejections.
    if (late
        && subsets.isInUse()
        && ejections.ejectionCount() > 1 + fleet.scope().servers().size() / subsets.count()) {
      fleet.proxies().all().stream()
          .filter(proxy -> !fleet.tables().isSubsetTable(proxy.table))
          .forEach(ProxyState::requestRebind);
    }
  }

  /**
   * Publishes the changes that wait while ejections are pending.
   *
   * @return whether all changes are published
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
    // Weights share the messages of admission levels, since the channel may never be nearly idle
    // during an overload.
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
          (long) (RETRY_DELAY_CONTROL_PERIODS * settings.controlPeriodUs()),
          PolicyTimer.PUBLISH.token);
    }
  }
}
