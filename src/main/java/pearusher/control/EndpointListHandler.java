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
 * Checks the version and size of endpoint lists and passes them to the server directory, the
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

  /** Lists that were rejected because the heap cannot hold all of their servers. */
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

  /** Applies the last list known before the start, regardless of its size. */
  void onInitialList(EndpointList list) {
    apply(ListUpdateKind.CACHED, list);
  }

  /**
   * Handles a list or a change of the list that arrived from discovery.
   *
   * @param startsWatch whether it is the first list of a watch
   */
  void onEndpointList(EndpointList list, boolean startsWatch) {
    switch (state.compare(list, startsWatch, loop.nowUs())) {
      case CURRENT ->
          applyIfWithinLimit(
              list.complete() ? ListUpdateKind.COMPLETE : ListUpdateKind.DELTA, list);
      case OUTDATED -> applyIfWithinLimit(ListUpdateKind.DELTA, emptyDelta());
      case RESTARTED -> applyIfWithinLimit(ListUpdateKind.COMPLETE, list);
      case LAGGING -> stopWatch();
    }
  }

  private EndpointList emptyDelta() {
    return new EndpointList(state.generation(), false, List.of());
  }

  /** Handles a failed fetch or the end of the watch. */
  void onEndpointListFailed() {
    state.setWatching(false);
    policy.get().onEndpointList(loop.nowUs(), ListUpdateKind.FAILED, List.of());
  }

  /**
   * Handles a possible change of the address of discovery: restarts a running watch at the new
   * address, before the old address closes it. The policy restarts a watch that has failed.
   */
  void onDiscoveryAddressChanged() {
    if (state.isWatching()) {
      outbound.get().calls().watchEndpoints(true, state.generation());
    }
  }

  /** Starts or stops the watch. */
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
                  "endpoint list rejected, counted with the known servers: {}",
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
      // The removal of an unknown server has no effect, and its entry would never be discarded.
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
   * Returns whether a list would raise the number of known servers above the limit of the heap.
   * Even short lists can: deltas may add servers indefinitely, and complete lists may replace
   * servers faster than the policy discards the previous ones.
   */
  private boolean exceedsKnownLimit(EndpointList list) {
    int remaining = limits.maxKnown() - servers.nameCount();
    return list.endpoints().size() > remaining && countUnknownServers(list) > remaining;
  }

  private long countUnknownServers(EndpointList list) {
    return list.endpoints().stream()
        .filter(endpoint -> endpoint.lifecycle() != Lifecycle.REMOVED)
        .filter(endpoint -> !servers.contains(endpoint.server()))
        .count();
  }
}
