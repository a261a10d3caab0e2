package pearusher.recovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pearusher.policy.Lifecycle;

/**
 * The initial endpoint list of a start, merged from the configured and the stored list.
 *
 * @param generation the generation from which on discovery is asked for changes; 0 asks for the
 *     complete list
 */
public record RecoveredServerList(long generation, List<ListedServer> servers) {

  /**
   * Merges the configured and the stored list. The list with the higher generation is used, except
   * for servers that the other list has as draining or removed in the same or a later incarnation:
   * these remain draining or removed. The reason is that the generations of a list may have been
   * reset, and that using a server that is gone is worse than not using a ready server for a short
   * time. If there are such servers, discovery is asked for the complete list.
   */
  public static RecoveredServerList merge(RecoveredServerList configured, Ledger ledger) {
    if (!ledger.trust().allowsStoredTables() || ledger.servers().isEmpty()) {
      return configured;
    }
    RecoveredServerList stored =
        new RecoveredServerList(ledger.generation(), List.copyOf(ledger.servers().values()));
    return stored.generation() >= configured.generation()
        ? mergeInto(stored, configured)
        : mergeInto(configured, stored);
  }

  private static RecoveredServerList mergeInto(
      RecoveredServerList newer, RecoveredServerList older) {
    Map<String, ListedServer> olderByName = new HashMap<>();
    older.servers().forEach(server -> olderByName.put(server.name(), server));
    List<ListedServer> merged = new ArrayList<>();
    boolean isConsistent = true;
    for (ListedServer server : newer.servers()) {
      ListedServer olderEntry = olderByName.get(server.name());
      if (olderEntry != null && wouldReactivate(server, olderEntry)) {
        merged.add(server.withLifecycle(olderEntry.lifecycle()));
        isConsistent = false;
      } else {
        merged.add(server);
      }
    }
    return new RecoveredServerList(isConsistent ? newer.generation() : 0, merged);
  }

  /**
   * Returns whether a server is ready only in the newer list, although it did not start after the
   * incarnation in the older list.
   */
  private static boolean wouldReactivate(ListedServer newer, ListedServer older) {
    return newer.lifecycle() == Lifecycle.READY
        && older.lifecycle() != Lifecycle.READY
        && older.startedUs() >= newer.startedUs();
  }
}
