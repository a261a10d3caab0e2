package pearusher.publish;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Selects the ejections and reinstatements to send to one proxy in an iteration. Only the
 * event-loop thread uses it. It is stateless.
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
   * Returns the servers to announce to the proxy as ejected (true) or reinstated (false).
   *
   * <p>These are the servers whose state changed in this iteration and to which the proxy may send
   * requests, and the servers that this update adds to a table of the proxy.
   *
   * <p>A proxy retains ejections across streams and across restarts of the assigner. Without a
   * reinstatement, a server that was ejected long ago would remain ejected at the proxy. A
   * confirmed proxy is sent reinstatements of suspected servers only, because reinstatements count
   * against the update budget.
   */
  Map<Long, Boolean> select(ProxyStreamState proxy) {
    Map<Long, Boolean> selected = new TreeMap<>(proxy.catchUpEjections());
    ejections
        .changed()
        .forEach(
            (server, isEjected) -> {
              if (maySendTo(proxy, server)) {
                selected.put(server, isEjected);
              }
            });
    for (int requestClass = 0; requestClass < classCount; requestClass++) {
      addServersNewToProxy(selected, proxy, requestClass);
    }
    selected.entrySet().removeIf(entry -> proxy.isAnnounced(entry.getKey(), entry.getValue()));
    return selected;
  }

  /**
   * Returns whether a proxy may send requests to a server at present. To any other proxy, the state
   * of the server is announced once it is added to one of the proxy's tables; the policy does not
   * charge the update budget for such a proxy.
   */
  private boolean maySendTo(ProxyStreamState proxy, long server) {
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

  private void addServersNewToProxy(
      Map<Long, Boolean> selected, ProxyStreamState proxy, int requestClass) {
    if (proxy.table(requestClass).isEmpty()) {
      return;
    }
    PublishedTable table = tables.get(proxy.table(requestClass).getAsInt());
    Set<Long> serversToSend =
        proxy.needsCompleteTable(requestClass) ? table.servers() : table.changedServers();
    for (long server : serversToSend) {
      if (table.contains(server) && ejections.needsAnnouncement(server, proxy.isConfirmed())) {
        selected.put(server, ejections.isEjected(server));
      }
    }
  }
}
