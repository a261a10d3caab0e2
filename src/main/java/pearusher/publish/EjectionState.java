package pearusher.publish;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Which servers are ejected (withdrawn by the module), which were ejected or reinstated this turn,
 * and of which a proxy may believe that they are ejected. Only the decision thread uses it. It
 * grows with the servers that the module has not forgotten.
 */
final class EjectionState {
  private final Set<Long> ejected = new HashSet<>();

  /**
   * Servers that some assigner may have ejected, as the module says: at any proxy, or where not
   * sure.
   */
  private final Map<Long, Boolean> doubted = new HashMap<>();

  private final Map<Long, Boolean> changed = new TreeMap<>();

  /** Ejects a server, or reinstates it. */
  void order(long server, boolean out) {
    if (out) {
      ejected.add(server);
    } else {
      ejected.remove(server);
    }
    changed.put(server, out);
  }

  /** A server that an earlier process ejected, and that still is out. */
  void restore(long server) {
    ejected.add(server);
  }

  void doubt(long server, boolean all) {
    doubted.put(server, all);
  }

  void forget(long server) {
    doubted.remove(server);
    ejected.remove(server);
  }

  boolean isEjected(long server) {
    return ejected.contains(server);
  }

  /** Whether a proxy to which a table brings this server must be told how it stands. */
  boolean mustBeSaid(long server, boolean sure) {
    return ejected.contains(server)
        || (doubted.containsKey(server) && (doubted.get(server) || !sure));
  }

  /** Servers that were ejected (true) or reinstated this turn. */
  Map<Long, Boolean> changed() {
    return changed;
  }

  void endTurn() {
    changed.clear();
  }

  /** What is kept, by server. */
  int size() {
    return doubted.size() + ejected.size() + changed.size();
  }
}
