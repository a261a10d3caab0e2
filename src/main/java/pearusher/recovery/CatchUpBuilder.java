package pearusher.recovery;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import pearusher.policy.AdmissionLevel;

/**
 * Tells what a proxy lacks of its table since the turn for which it has last answered. It keeps
 * nothing.
 */
final class CatchUpBuilder {
  private CatchUpBuilder() {}

  /** Null where that can't be told, and the proxy must get its table whole. */
  static CatchUp of(LedgerState state, LedgerCodec.Proxy known) {
    LedgerTable table = state.table(known.table());
    long from = known.applied();
    if (from < known.whole() || from < table.floor) {
      return null;
    }
    Map<String, Double> lines = new TreeMap<>();
    Map<String, Boolean> say = new TreeMap<>();
    Map<String, Boolean> before = new HashMap<>();
    table.lines.forEach(
        (server, line) -> {
          LedgerCodec.Ejection ejection = state.ejections.get(server);
          if (line.turn() <= from) {
            // With a line went how its server stands.
            if (line.weight() > 0) {
              before.put(server, ejection != null && ejection.out());
            }
            return;
          }
          lines.put(server, line.weight());
          if (line.weight() > 0 && ejection != null) {
            say.put(server, ejection.out());
          }
        });
    state.ejections.forEach(
        (server, ejection) -> {
          if (ejection.turn() > from && table.lines.containsKey(server)) {
            say.put(server, ejection.out());
          } else if (ejection.out() && table.lines.containsKey(server)) {
            before.put(server, true);
          }
        });
    before.keySet().removeAll(say.keySet());
    return new CatchUp(known.table(), lines, levels(table, from), say, before);
  }

  private static Map<Integer, AdmissionLevel> levels(LedgerTable table, long from) {
    Map<Integer, AdmissionLevel> out = new TreeMap<>();
    table.levels.forEach(
        (grade, at) -> {
          if (at.turn() > from) {
            out.put(grade, at.level());
          }
        });
    return out;
  }
}
