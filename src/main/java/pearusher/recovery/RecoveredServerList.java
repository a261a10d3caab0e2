package pearusher.recovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pearusher.policy.Lifecycle;

/**
 * The list of servers that a start begins with, made of the one it was given and the one in the
 * store.
 *
 * @param generation from which discovery is asked for changes; 0: for the whole list
 */
public record RecoveredServerList(long generation, List<ListedServer> servers) {

  /**
   * The newer of two lists. Where the older one says of a server, in the same life of it, that it
   * drains or is gone, that holds: a list's number may have begun anew, and a server is rather
   * missed for a moment than revived. Discovery then is asked for the whole list, which settles it.
   */
  public static RecoveredServerList merge(RecoveredServerList given, Ledger ledger) {
    if (!ledger.trust().trustsTables() || ledger.servers().isEmpty()) {
      return given;
    }
    RecoveredServerList stored =
        new RecoveredServerList(ledger.generation(), List.copyOf(ledger.servers().values()));
    boolean newer = stored.generation() >= given.generation();
    RecoveredServerList base = newer ? stored : given;
    Map<String, ListedServer> other = new HashMap<>();
    (newer ? given : stored).servers().forEach(s -> other.put(s.name(), s));
    List<ListedServer> out = new ArrayList<>();
    boolean settled = true;
    for (ListedServer one : base.servers()) {
      ListedServer old = other.get(one.name());
      boolean worse =
          old != null
              && one.lifecycle() == Lifecycle.READY
              && old.lifecycle() != one.lifecycle()
              && old.startedUs() >= one.startedUs();
      settled &= !worse;
      out.add(
          !worse
              ? one
              : new ListedServer(
                  one.name(),
                  one.hostPort(),
                  one.zone(),
                  one.machineType(),
                  one.cell(),
                  old.lifecycle(),
                  one.weight(),
                  one.startedUs()));
    }
    return new RecoveredServerList(settled ? base.generation() : 0, out);
  }
}
