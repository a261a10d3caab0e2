package pearusher.recovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import pearusher.policy.AdmissionLevel;
import pearusher.policy.Idempotency;

/**
 * One table of the ledger: its lines, also those taken out as long as proxies may hold them, and
 * its levels, each with the turn that ordered it. It grows with the servers that the table lists,
 * and with {@link #SPARE_LINES}.
 */
final class LedgerTable {
  /**
   * Lines that were taken out are kept, so long as proxies may hold them, up to so many beside each
   * table.
   */
  private static final int SPARE_LINES = 64;

  /**
   * After a proof that the first try never ran a repeat is safe for every class; other ways are
   * not.
   */
  private static final int SAFE_RETRY = 1;

  final Map<String, LedgerCodec.Line> lines = new TreeMap<>();
  final Map<Integer, LedgerCodec.LevelAt> levels = new TreeMap<>();

  /** What a proxy lacks is known from this turn on only. */
  long floor;

  /** The weights by server, without lines taken out. */
  Map<String, Double> weights() {
    Map<String, Double> out = new TreeMap<>();
    lines.forEach(
        (server, line) -> {
          if (line.weight() > 0) {
            out.put(server, line.weight());
          }
        });
    return out;
  }

  /** The levels by class. A way to repeat what must never run twice is not taken over. */
  Map<Integer, AdmissionLevel> levels(List<Idempotency> effects) {
    Map<Integer, AdmissionLevel> out = new TreeMap<>();
    levels.forEach(
        (grade, at) -> {
          int retry =
              effects.get(grade) == Idempotency.NOT_IDEMPOTENT
                  ? Math.min(SAFE_RETRY, at.level().retry())
                  : at.level().retry();
          out.put(grade, new AdmissionLevel(at.level().probabilityOrRate(), retry));
        });
    return out;
  }

  /** Whether more lines that were taken out are kept than may be. */
  boolean isToBePruned() {
    return lines.values().stream().filter(l -> l.weight() <= 0).count() > SPARE_LINES;
  }

  /**
   * Up to which turn lines that were taken out are to go: those for which every proxy has answered,
   * and the older half in any case.
   */
  long pruneTurn(long answeredTurn) {
    long[] turns =
        lines.values().stream()
            .filter(l -> l.weight() <= 0)
            .mapToLong(LedgerCodec.Line::turn)
            .sorted()
            .toArray();
    return Math.max(answeredTurn, turns[turns.length / 2]);
  }

  /** Drops the lines that were taken out up to a turn, and returns their servers. */
  List<String> prune(long upTo) {
    List<String> out = new ArrayList<>();
    lines
        .entrySet()
        .removeIf(
            e -> {
              boolean old = e.getValue().weight() <= 0 && e.getValue().turn() <= upTo;
              if (old) {
                out.add(e.getKey());
              }
              return old;
            });
    return out;
  }
}
