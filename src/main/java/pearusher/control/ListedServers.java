package pearusher.control;

import java.util.List;
import pearusher.protocol.Endpoint;
import pearusher.recovery.ListedServer;

/** Converts between the endpoints of the protocol and the listed servers of the ledger. */
final class ListedServers {
  private ListedServers() {}

  static List<ListedServer> of(List<Endpoint> endpoints) {
    return endpoints.stream().map(ListedServers::of).toList();
  }

  static ListedServer of(Endpoint endpoint) {
    return new ListedServer(
        endpoint.server(),
        endpoint.hostPort(),
        endpoint.zone(),
        endpoint.machineType(),
        endpoint.cell(),
        endpoint.lifecycle(),
        endpoint.weight(),
        endpoint.startedUs());
  }

  static Endpoint toEndpoint(ListedServer server) {
    return new Endpoint(
        server.name(),
        server.hostPort(),
        server.zone(),
        server.machineType(),
        server.cell(),
        server.lifecycle(),
        server.weight(),
        server.startedUs());
  }
}
