package pearusher.recovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import pearusher.policy.AdmissionLevel;
import pearusher.policy.Idempotency;

/**
 * One table of the ledger: weight entries, also of servers that were taken out as long as proxies
 * may hold them, and admission levels. Owned by the ledger's thread. It grows with the servers that
 * the table lists, plus {@link #MAX_REMOVED_ENTRIES}.
 */
final class LedgerTable {
  /** Entries of servers that were taken out, above which a table is pruned. */
  private static final int MAX_REMOVED_ENTRIES = 64;

  /**
   * The highest retry mode that is safe for every request class: it retries only where the first
   * attempt provably never ran.
   */
  private static final int MAX_SAFE_RETRY = 1;

  final Map<String, WeightEntry> weights = new TreeMap<>();
  final Map<Integer, AdmissionEntry> admissions = new TreeMap<>();

  /** The iteration since which changes of the table are known; older history was dropped. */
  long historyStart;

  /** The weights by server, without servers that were taken out. */
  Map<String, Double> listedWeights() {
    Map<String, Double> listed = new TreeMap<>();
    weights.forEach(
        (server, entry) -> {
          if (entry.isListed()) {
            listed.put(server, entry.weight());
          }
        });
    return listed;
  }

  /**
   * The admission levels by request class, with retries limited to what is safe for the class.
   *
   * @param idempotencies by request class
   */
  Map<Integer, AdmissionLevel> safeAdmissionLevels(List<Idempotency> idempotencies) {
    Map<Integer, AdmissionLevel> levels = new TreeMap<>();
    admissions.forEach(
        (requestClass, entry) ->
            levels.put(requestClass, safeLevel(entry.level(), idempotencies.get(requestClass))));
    return levels;
  }

  private static AdmissionLevel safeLevel(AdmissionLevel level, Idempotency idempotency) {
    if (idempotency != Idempotency.NOT_IDEMPOTENT) {
      return level;
    }
    int retry = Math.min(MAX_SAFE_RETRY, level.retryMode());
    return new AdmissionLevel(level.probabilityOrRate(), retry);
  }

  private Stream<WeightEntry> removedEntries() {
    return weights.values().stream().filter(entry -> !entry.isListed());
  }

  boolean needsPruning() {
    return removedEntries().count() > MAX_REMOVED_ENTRIES;
  }

  /**
   * The iteration up to which removed entries are to be pruned: those that every proxy has
   * acknowledged, and the older half in any case. There must be removed entries.
   */
  long pruneLimit(long acknowledgedByAll) {
    long[] iterations = removedEntries().mapToLong(WeightEntry::iteration).sorted().toArray();
    return Math.max(acknowledgedByAll, iterations[iterations.length / 2]);
  }

  /**
   * Drops the entries of servers that were taken out up to an iteration.
   *
   * @return the servers whose entries were dropped
   */
  List<String> prune(long upToIteration) {
    List<String> pruned = new ArrayList<>();
    weights.forEach(
        (server, entry) -> {
          if (!entry.isListed() && entry.iteration() <= upToIteration) {
            pruned.add(server);
          }
        });
    weights.keySet().removeAll(pruned);
    return pruned;
  }
}
