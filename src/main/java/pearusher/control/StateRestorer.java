package pearusher.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import pearusher.policy.AdmissionLevel;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.Idempotency;
import pearusher.publish.PublishedTables;
import pearusher.recovery.Ledger;

/**
 * Restores the state published by an earlier process to the policy and the published tables, with
 * server names converted to numbers. It runs once at the start, on the thread that starts the
 * controller. It is stateless.
 */
final class StateRestorer {
  /** The table that is always restored, even if the ledger does not contain it. */
  private static final int DEFAULT_TABLE = 0;

  /** Indicates to the policy that neither a level nor a retry policy was set for a class. */
  private static final AdmissionLevel NOT_SET = new AdmissionLevel(0, -1);

  private final ServerDirectory servers;
  private final PublishedTables tables;
  private final AssignmentPolicy policy;
  private final List<Idempotency> idempotencyByClass;

  /**
   * @param idempotencyByClass the idempotency of each request class, in the order of the settings
   */
  StateRestorer(
      ServerDirectory servers,
      PublishedTables tables,
      AssignmentPolicy policy,
      List<Idempotency> idempotencyByClass) {
    this.servers = servers;
    this.tables = tables;
    this.policy = policy;
    this.idempotencyByClass = idempotencyByClass;
  }

  /** Restores ejections, tables and the last acknowledgement number. */
  void restore(long nowUs, Ledger ledger) {
    ledger
        .ejectedServers()
        .forEach(name -> servers.number(name).ifPresent(tables::restoreEjection));
    // The last acknowledgement number must be restored even if there is no table. Otherwise, a new
    // request could have the number of one that a proxy has already acknowledged.
    Set<Integer> numbers = new TreeSet<>(ledger.tables());
    numbers.add(DEFAULT_TABLE);
    for (int number : numbers) {
      restoreTable(nowUs, ledger, number);
    }
  }

  private void restoreTable(long nowUs, Ledger ledger, int number) {
    Map<Long, Double> weights = new HashMap<>();
    ledger
        .weights(number)
        .forEach((name, weight) -> weights.put(servers.number(name).orElseThrow(), weight));
    Map<Integer, AdmissionLevel> levels = ledger.admissionLevels(number, idempotencyByClass);
    tables.restoreTable(number, weights, levels);
    int classCount = idempotencyByClass.size();
    double[] levelByClass = new double[classCount];
    int[] retryByClass = new int[classCount];
    for (int requestClass = 0; requestClass < classCount; requestClass++) {
      AdmissionLevel level = levels.getOrDefault(requestClass, NOT_SET);
      levelByClass[requestClass] = level.shareOrRate();
      retryByClass[requestClass] = level.retryMode();
    }
    policy.onTableRestored(
        nowUs, number, weights, levelByClass, retryByClass, ledger.lastAckNumber());
  }
}
