package pearusher.recovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import pearusher.policy.AdmissionLevel;
import pearusher.policy.Idempotency;

/**
 * A table of the ledger: weight entries and admission levels. The entry of a removed server is kept
 * while proxies may still have the server in their tables. Owned by the ledger's thread. Memory
 * grows with the servers in the table, plus up to {@link #MAX_REMOVED_ENTRIES}.
 */
final class LedgerTable {
  /** Number of entries of removed servers above which a table is pruned. */
  private static final int MAX_REMOVED_ENTRIES = 64;

  /**
   * The highest retry mode that is safe for every request class: it retries only if the first
   * attempt provably was not executed.
   */
  private static final int MAX_SAFE_RETRY = 1;

  final Map<String, WeightEntry> weights = new TreeMap<>();
  final Map<Integer, AdmissionEntry> admissions = new TreeMap<>();

  /** The iteration from which on changes of the table are recorded; older ones were dropped. */
  long historyStart;

  /** Returns the weights by server, without removed servers. */
  Map<String, Double> currentWeights() {
    Map<String, Double> current = new TreeMap<>();
    weights.forEach(
        (server, entry) -> {
          if (entry.isInTable()) {
            current.put(server, entry.weight());
          }
        });
    return current;
  }

  /**
   * Returns the admission levels by request class, with retry modes limited to those that are safe
   * for the class.
   *
   * @param idempotencies idempotency of each request class
   */
  Map<Integer, AdmissionLevel> admissionLevelsWithSafeRetries(List<Idempotency> idempotencies) {
    Map<Integer, AdmissionLevel> levels = new TreeMap<>();
    admissions.forEach(
        (requestClass, entry) ->
            levels.put(requestClass, limitRetries(entry.level(), idempotencies.get(requestClass))));
    return levels;
  }

  private static AdmissionLevel limitRetries(AdmissionLevel level, Idempotency idempotency) {
    if (idempotency != Idempotency.NOT_IDEMPOTENT) {
      return level;
    }
    int retry = Math.min(MAX_SAFE_RETRY, level.retryMode());
    return new AdmissionLevel(level.shareOrRate(), retry);
  }

  private Stream<WeightEntry> removedEntries() {
    return weights.values().stream().filter(entry -> !entry.isInTable());
  }

  boolean needsPruning() {
    return removedEntries().count() > MAX_REMOVED_ENTRIES;
  }

  /**
   * Returns the iteration up to which the entries of removed servers are to be pruned: all entries
   * that every proxy has acknowledged, and the older half in any case. The table must contain such
   * entries.
   */
  long pruneLimit(long acknowledgedByAll) {
    long[] iterations = removedEntries().mapToLong(WeightEntry::iteration).sorted().toArray();
    return Math.max(acknowledgedByAll, iterations[iterations.length / 2]);
  }

  /**
   * Drops the entries of servers that were removed up to an iteration.
   *
   * @return the servers whose entries were dropped
   */
  List<String> prune(long upToIteration) {
    List<String> pruned = new ArrayList<>();
    weights.forEach(
        (server, entry) -> {
          if (!entry.isInTable() && entry.iteration() <= upToIteration) {
            pruned.add(server);
          }
        });
    weights.keySet().removeAll(pruned);
    return pruned;
  }
}
