package pearusher.publish;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Which servers are ejected, which were ejected or reinstated in this iteration, and which of them
 * a proxy may wrongly believe to be ejected. Only the event-loop thread uses it. It grows with the
 * servers that the policy has not forgotten.
 */
final class EjectionState {
  /** Which proxies may believe that a server is ejected. */
  private enum Suspicion {
    UNCONFIRMED_PROXIES,
    ALL_PROXIES
  }

  private final Set<Long> ejected = new HashSet<>();

  /** Servers that some assigner may have ejected, as the policy says. */
  private final Map<Long, Suspicion> suspected = new HashMap<>();

  /** Servers that were ejected (true) or reinstated in this iteration. */
  private final Map<Long, Boolean> changed = new TreeMap<>();

  /** Ejects a server, or reinstates it. */
  void set(long server, boolean isEjected) {
    if (isEjected) {
      ejected.add(server);
    } else {
      ejected.remove(server);
    }
    changed.put(server, isEjected);
  }

  /** Restores a server that an earlier process ejected. */
  void restore(long server) {
    ejected.add(server);
  }

  /**
   * Some assigner may have ejected a server.
   *
   * @param all whether confirmed proxies may believe so too
   */
  void suspect(long server, boolean all) {
    suspected.put(server, all ? Suspicion.ALL_PROXIES : Suspicion.UNCONFIRMED_PROXIES);
  }

  void forget(long server) {
    suspected.remove(server);
    ejected.remove(server);
  }

  boolean isEjected(long server) {
    return ejected.contains(server);
  }

  /**
   * Whether the state of a server must be announced to a proxy whose table gains it.
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

  /** Returns the servers that were ejected (true) or reinstated in this iteration. */
  Map<Long, Boolean> changed() {
    return changed;
  }

  void endIteration() {
    changed.clear();
  }

  /** Returns the number of entries by server. */
  int size() {
    return suspected.size() + ejected.size() + changed.size();
  }
}
