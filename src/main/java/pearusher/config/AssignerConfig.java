package pearusher.config;

import java.net.InetSocketAddress;
import java.util.List;
import pearusher.policy.PolicySettings;
import pearusher.protocol.Endpoint;
import pearusher.protocol.EndpointList;
import pearusher.protocol.EndpointListLimits;
import pearusher.protocol.WireNames;

/**
 * Configuration of one assigner process. Immutable; its size is proportional to the list of known
 * servers.
 *
 * @param name the name of the assigner
 * @param listen the address on which proxies and collectors connect
 * @param discovery the address of the discovery service
 * @param maxDescriptors the maximum number of open file descriptors of the process
 * @param peers the addresses of the assigners of this tier
 * @param initialServers the initial list of servers
 * @param settings the settings of the policy
 * @param names the names of zones, request classes and other settings items in messages
 * @param timeouts the timeouts of connections
 * @param listLimits the limits on endpoint lists
 */
public record AssignerConfig(
    String name,
    InetSocketAddress listen,
    InetSocketAddress discovery,
    int maxDescriptors,
    PeerAddresses peers,
    EndpointList initialServers,
    PolicySettings settings,
    WireNames names,
    Timeouts timeouts,
    EndpointListLimits listLimits) {

  /**
   * Returns a copy with the reloadable values of another configuration: the addresses of the
   * discovery service and of the peers, the number of file descriptors, and the timeouts. The
   * policy settings are unchanged. So is the list of servers, because the running assigner has a
   * later version of it.
   *
   * @param reloaded the reloaded configuration, which has as many peers as this one
   */
  AssignerConfig withReloadable(AssignerConfig reloaded) {
    return new AssignerConfig(
        name,
        listen,
        reloaded.discovery,
        reloaded.maxDescriptors,
        new PeerAddresses(peers.listen(), reloaded.peers.assigners(), reloaded.peers.broadcast()),
        initialServers,
        settings,
        names,
        reloaded.timeouts,
        listLimits);
  }

  /**
   * Returns a copy whose list of known servers is truncated to a maximum length.
   *
   * @param maxServers the maximum number of known servers
   */
  public AssignerConfig withKnownServersUpTo(int maxServers) {
    List<Endpoint> endpoints = initialServers.endpoints();
    if (endpoints.size() <= maxServers) {
      return this;
    }
    EndpointList firstServers =
        new EndpointList(
            initialServers.generation(),
            initialServers.complete(),
            endpoints.subList(0, maxServers));
    return new AssignerConfig(
        name,
        listen,
        discovery,
        maxDescriptors,
        peers,
        firstServers,
        settings,
        names,
        timeouts,
        listLimits);
  }
}
