package pearusher.config;

import java.net.InetSocketAddress;
import java.util.List;
import pearusher.policy.PolicySettings;
import pearusher.protocol.Endpoint;
import pearusher.protocol.EndpointList;
import pearusher.protocol.EndpointListLimits;
import pearusher.protocol.WireNames;

/**
 * The configuration of one assigner process. Immutable; it grows with the list of known servers.
 *
 * @param name the name of the assigner
 * @param listen where proxies and collectors connect
 * @param discovery the address of discovery
 * @param maxDescriptors the number of file descriptors that the process may hold
 * @param peers the addresses of the assigners of this tier
 * @param knownServers the list of servers to start with
 * @param settings the settings of the policy
 * @param names the names that messages use for what the settings list
 * @param timeouts the timeouts of connections
 * @param listLimits the limits on lists of servers
 */
public record AssignerConfig(
    String name,
    InetSocketAddress listen,
    InetSocketAddress discovery,
    int maxDescriptors,
    PeerAddresses peers,
    EndpointList knownServers,
    PolicySettings settings,
    WireNames names,
    Timeouts timeouts,
    EndpointListLimits listLimits) {

  /**
   * Returns this configuration with what a running assigner applies of a reloaded one: the
   * addresses of discovery and of its peers, the number of descriptors and the timeouts. The
   * settings stay, and so does the list of servers, of which the assigner has a later version.
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
        knownServers,
        settings,
        names,
        reloaded.timeouts,
        listLimits);
  }

  /**
   * Returns this configuration with at most a number of known servers, the first ones of its list.
   *
   * @param maxServers the maximum number of known servers
   */
  public AssignerConfig withKnownServersUpTo(int maxServers) {
    List<Endpoint> endpoints = knownServers.endpoints();
    if (endpoints.size() <= maxServers) {
      return this;
    }
    EndpointList firstServers =
        new EndpointList(
            knownServers.generation(), knownServers.complete(), endpoints.subList(0, maxServers));
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
