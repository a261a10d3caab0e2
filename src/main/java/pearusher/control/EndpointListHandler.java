package pearusher.control;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.tinylog.Logger;
import pearusher.config.AssignerConfig;
import pearusher.logging.RepeatedEvent;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.Lifecycle;
import pearusher.policy.ListUpdateKind;
import pearusher.policy.ServerEntry;
import pearusher.protocol.Endpoint;
import pearusher.protocol.EndpointList;
import pearusher.protocol.EndpointListLimits;

/**
 * Checks endpoint lists for their version and size, and passes them on to the server directory, the
 * persistence and the policy. Only the event-loop thread uses it. Its own size is constant.
 */
final class EndpointListHandler {
  private final EventLoop loop;
  private final ServerDirectory servers;
  private final Persistence persistence;
  private final Supplier<AssignmentPolicy> policy;
  private final Supplier<OutboundPorts> outbound;
  private final EndpointListLimits limits;
  private final EndpointListState state;

  /** Lists that would have made more servers known than the heap can hold. */
  private final RepeatedEvent oversizedLists = new RepeatedEvent();

  EndpointListHandler(
      EventLoop loop,
      ServerDirectory servers,
      Persistence persistence,
      Supplier<AssignmentPolicy> policy,
      Supplier<OutboundPorts> outbound,
      AssignerConfig config) {
    this.loop = loop;
    this.servers = servers;
    this.persistence = persistence;
    this.policy = policy;
    this.outbound = outbound;
    limits = config.listLimits();
    state = new EndpointListState(config.settings().limits().maxPollIntervalUs());
  }

  /** Takes the list last known before the start, whatever its size. */
  void onInitialList(EndpointList known) {
    apply(ListUpdateKind.CACHED, known);
  }

  /** As {@link DiscoveryEvents#onEndpointList(EndpointList, boolean)}. */
  void onEndpointList(EndpointList list, boolean startsWatch) {
    switch (state.compare(list, startsWatch, loop.nowUs())) {
      case CURRENT ->
          applyIfWithinLimit(
              list.complete() ? ListUpdateKind.COMPLETE : ListUpdateKind.DELTA, list);
      case OUTDATED -> applyIfWithinLimit(ListUpdateKind.DELTA, noChange());
      case RESTARTED -> applyIfWithinLimit(ListUpdateKind.COMPLETE, list);
      case LAGGING -> stopWatch();
    }
  }

  private EndpointList noChange() {
    return new EndpointList(state.generation(), false, List.of());
  }

  /** A fetch failed, or the watch ended. */
  void onEndpointListFailed() {
    state.setWatching(false);
    policy.get().onEndpointList(loop.nowUs(), ListUpdateKind.FAILED, List.of());
  }

  /**
   * The address of discovery may have changed: a running watch is started again there, before the
   * old address closes it. The policy restarts one that has failed.
   */
  void onDiscoveryMoved() {
    if (state.isWatching()) {
      outbound.get().calls().watchEndpoints(true, state.generation());
    }
  }

  /** Starts or stops the watch, on the policy's command. */
  void setWatching(boolean isOn) {
    state.setWatching(isOn);
    outbound.get().calls().watchEndpoints(isOn, state.generation());
  }

  private void stopWatch() {
    outbound.get().calls().watchEndpoints(false, state.generation());
    onEndpointListFailed();
  }

  private void applyIfWithinLimit(ListUpdateKind kind, EndpointList list) {
    if (exceedsKnownLimit(list)) {
      oversizedLists.record(
          count ->
              Logger.warn(
                  "discovery: with the servers known before, a list of {}",
                  limits.describeMaxKnown()));
      stopWatch();
      return;
    }
    apply(kind, list);
  }

  private void apply(ListUpdateKind kind, EndpointList list) {
    state.setGeneration(list.generation());
    List<ServerEntry> entries = new ArrayList<>();
    for (Endpoint endpoint : list.endpoints()) {
      // The removal of an unknown server means nothing, and its entry would never be forgotten.
      if (endpoint.lifecycle() != Lifecycle.REMOVED || servers.contains(endpoint.server())) {
        entries.add(register(endpoint));
      }
    }
    persistence.onEndpointList(list);
    policy.get().onEndpointList(loop.nowUs(), kind, entries);
  }

  private ServerEntry register(Endpoint endpoint) {
    return new ServerEntry(
        servers.add(endpoint.server(), endpoint.hostPort()),
        endpoint.zone(),
        endpoint.machineType(),
        endpoint.cell(),
        endpoint.lifecycle(),
        endpoint.weight(),
        endpoint.startedUs());
  }

  /**
   * Whether a list would make more servers known than the heap can hold: short deltas may name new
   * servers without end, and complete lists may follow each other faster than the policy forgets.
   */
  private boolean exceedsKnownLimit(EndpointList list) {
    int remaining = limits.maxKnown() - servers.nameCount();
    return list.endpoints().size() > remaining && newServers(list) > remaining;
  }

  private long newServers(EndpointList list) {
    return list.endpoints().stream()
        .filter(endpoint -> endpoint.lifecycle() != Lifecycle.REMOVED)
        .filter(endpoint -> !servers.contains(endpoint.server()))
        .count();
  }
}
