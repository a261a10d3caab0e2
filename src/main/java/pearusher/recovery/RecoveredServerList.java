package pearusher.recovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pearusher.policy.Lifecycle;

/**
 * The endpoint list that a start begins with, merged from the configured and the stored one.
 *
 * @param generation the one since which discovery is asked for changes; 0: it is asked for the
 *     complete list
 */
public record RecoveredServerList(long generation, List<ListedServer> servers) {

  /**
   * Merges the newer of two lists with what the older one says of draining and removed servers.
   * Where the older list calls the same incarnation of a server draining or removed, that stays: a
   * list's generation may have begun anew, and missing a server for a moment is better than using
   * one that is gone. Discovery is then asked for the complete list.
   */
  public static RecoveredServerList merge(RecoveredServerList configured, Ledger ledger) {
    if (!ledger.trust().trustsTables() || ledger.servers().isEmpty()) {
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
      if (olderEntry != null && wouldRevive(server, olderEntry)) {
        merged.add(server.withLifecycle(olderEntry.lifecycle()));
        isConsistent = false;
      } else {
        merged.add(server);
      }
    }
    return new RecoveredServerList(isConsistent ? newer.generation() : 0, merged);
  }

  /** Whether a server is ready by the newer list only, in an incarnation that the older knows. */
  private static boolean wouldRevive(ListedServer newer, ListedServer older) {
    return newer.lifecycle() == Lifecycle.READY
        && older.lifecycle() != Lifecycle.READY
        && older.startedUs() >= newer.startedUs();
  }
}
