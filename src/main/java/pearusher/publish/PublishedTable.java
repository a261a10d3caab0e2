package pearusher.publish;

import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import pearusher.policy.AdmissionLevel;

/**
 * One table as it is ordered: its lines, its levels, and what of them changed this turn. Only the
 * decision thread uses it. It grows with the servers that the table lists.
 */
final class PublishedTable {
  /** Weights by server. */
  final Map<Long, Double> lines = new TreeMap<>();

  /** By class; null where none was ordered. */
  final AdmissionLevel[] levels;

  /** Servers whose lines were ordered this turn, also those taken out. */
  final Set<Long> changed = new TreeSet<>();

  /** Classes whose levels were ordered this turn. */
  int changedLevels;

  /** It was begun anew this turn. */
  boolean cleared;

  PublishedTable(int classes) {
    levels = new AdmissionLevel[classes];
  }

  void line(long server, double weight) {
    if (weight > 0) {
      lines.put(server, weight);
    } else {
      lines.remove(server);
    }
    changed.add(server);
  }

  void clear() {
    lines.clear();
    Arrays.fill(levels, null);
    cleared = true;
  }

  /** Whether anything of it was ordered this turn. */
  boolean isTouched() {
    return cleared || changedLevels != 0 || !changed.isEmpty();
  }

  /** Whether it was begun anew this turn and nothing was put into it since. */
  boolean isEmptied() {
    return cleared && lines.isEmpty();
  }

  void endTurn() {
    changed.clear();
    changedLevels = 0;
    cleared = false;
  }
}
