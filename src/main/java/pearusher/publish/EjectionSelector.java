package pearusher.publish;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Selects the ejections and reinstatements that one proxy must be sent in an iteration. Only the
 * event-loop thread uses it. It holds no state.
 */
final class EjectionSelector {
  private final int classCount;
  private final Map<Integer, PublishedTable> tables;
  private final EjectionState ejections;

  EjectionSelector(int classCount, Map<Integer, PublishedTable> tables, EjectionState ejections) {
    this.classCount = classCount;
    this.tables = tables;
    this.ejections = ejections;
  }

  /**
   * Returns servers to announce as ejected (true) or reinstated: those that changed in this
   * iteration, where they concern the proxy, and the state of each server that a table gains at the
   * proxy now.
   *
   * <p>A proxy remembers ejections over streams and over restarts of the assigner: without a
   * reinstatement, a server ejected long ago would stay so. At a confirmed proxy these are sent for
   * suspected servers only, because they count against the update budget.
   */
  Map<Long, Boolean> select(ProxyStreamState proxy) {
    Map<Long, Boolean> selected = new TreeMap<>(proxy.catchUpEjections());
    ejections
        .changed()
        .forEach(
            (server, isEjected) -> {
              if (concerns(proxy, server)) {
                selected.put(server, isEjected);
              }
            });
    for (int requestClass = 0; requestClass < classCount; requestClass++) {
      addGainedServers(selected, proxy, requestClass);
    }
    selected.entrySet().removeIf(entry -> proxy.isAnnounced(entry.getKey(), entry.getValue()));
    return selected;
  }

  /**
   * Whether a proxy may send to a server now. To others the state of the server is announced once
   * their table gains it; the policy does not charge the update budget for them.
   */
  private boolean concerns(ProxyStreamState proxy, long server) {
    if (proxy.hasUnboundClass()) {
      return true;
    }
    for (int requestClass = 0; requestClass < classCount; requestClass++) {
      if (tables.get(proxy.table(requestClass).orElseThrow()).contains(server)) {
        return true;
      }
    }
    return false;
  }

  private void addGainedServers(
      Map<Long, Boolean> selected, ProxyStreamState proxy, int requestClass) {
    if (proxy.table(requestClass).isEmpty()) {
      return;
    }
    PublishedTable table = tables.get(proxy.table(requestClass).getAsInt());
    Set<Long> sentServers =
        proxy.needsCompleteTable(requestClass) ? table.servers() : table.changedServers();
    for (long server : sentServers) {
      if (table.contains(server) && ejections.needsAnnouncement(server, proxy.isConfirmed())) {
        selected.put(server, ejections.isEjected(server));
      }
    }
  }
}
