package pearusher.publish;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The ejected servers, the servers that were ejected or reinstated in the current iteration, and
 * the suspected servers, which proxies may exclude because of an ejection by another assigner or an
 * earlier process. Only the event-loop thread uses it. Its size grows with the number of servers
 * that the policy has not discarded.
 */
final class EjectionState {
  /** The proxies that may exclude a suspected server. */
  private enum Suspicion {
    UNCONFIRMED_PROXIES,
    ALL_PROXIES
  }

  private final Set<Long> ejected = new HashSet<>();

  /** Servers that, according to the policy, another assigner or process may have ejected. */
  private final Map<Long, Suspicion> suspected = new HashMap<>();

  /** Servers that were ejected (true) or reinstated (false) in this iteration. */
  private final Map<Long, Boolean> changed = new TreeMap<>();

  /** Ejects or reinstates a server. */
  void set(long server, boolean isEjected) {
    if (isEjected) {
      ejected.add(server);
    } else {
      ejected.remove(server);
    }
    changed.put(server, isEjected);
  }

  /** Restores the ejection of a server by an earlier process; it does not count as a change. */
  void restore(long server) {
    ejected.add(server);
  }

  /**
   * Marks a server as suspected: another assigner or an earlier process may have ejected it.
   *
   * @param allProxies whether confirmed proxies may exclude the server too
   */
  void suspect(long server, boolean allProxies) {
    suspected.put(server, allProxies ? Suspicion.ALL_PROXIES : Suspicion.UNCONFIRMED_PROXIES);
  }

  /** Discards the state of a server. */
  void discard(long server) {
    suspected.remove(server);
    ejected.remove(server);
  }

  boolean isEjected(long server) {
    return ejected.contains(server);
  }

  /**
   * Returns whether the state of a server must be announced to a proxy when the server is added to
   * one of the proxy's tables.
   *
   * @param isConfirmed whether the policy confirmed the proxy
   */
  boolean needsAnnouncement(long server, boolean isConfirmed) {
    if (ejected.contains(server)) {
      return true;
    }
    Suspicion suspicion = suspected.get(server);
    return suspicion == Suspicion.ALL_PROXIES
        || (suspicion == Suspicion.UNCONFIRMED_PROXIES && !isConfirmed);
  }

  /** Returns the servers that were ejected (true) or reinstated (false) in this iteration. */
  Map<Long, Boolean> changed() {
    return changed;
  }

  void endIteration() {
    changed.clear();
  }

  /** Returns the number of entries in all collections of this object. */
  int entryCount() {
    return suspected.size() + ejected.size() + changed.size();
  }
}
