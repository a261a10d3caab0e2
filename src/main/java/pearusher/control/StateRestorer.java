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
 * Hands the policy and the published tables what an earlier process had commanded; server names
 * become numbers. It runs once on the event-loop thread, at the start, and holds no state.
 */
final class StateRestorer {
  /** The table that is restored even if it is empty. */
  private static final int FIRST_TABLE = 0;

  /** Tells the policy that neither a level nor a retry policy was set for a class. */
  private static final AdmissionLevel NOT_SET = new AdmissionLevel(0, -1);

  private final ServerDirectory servers;
  private final PublishedTables tables;
  private final AssignmentPolicy policy;
  private final List<Idempotency> idempotencyByClass;

  /**
   * @param idempotencyByClass for each request class, in the order of the settings
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

  void restore(long nowUs, Ledger ledger) {
    ledger
        .ejectedServers()
        .forEach(name -> servers.number(name).ifPresent(tables::restoreEjection));
    // Without any table the last acknowledgement number has to be restored all the same: a proxy
    // must not take a new request for one that it has acknowledged before.
    Set<Integer> numbers = new TreeSet<>(ledger.tables());
    numbers.add(FIRST_TABLE);
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
      levelByClass[requestClass] = level.probabilityOrRate();
      retryByClass[requestClass] = level.retryMode();
    }
    policy.onTableRestored(
        nowUs, number, weights, levelByClass, retryByClass, ledger.lastAckNumber());
  }
}
