package pearusher.recovery;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import pearusher.policy.AdmissionLevel;

/**
 * Computes the entries of a proxy's table that were issued after the last iteration that the proxy
 * acknowledged. An instance is used once.
 */
final class CatchUpBuilder {
  private final LedgerState state;
  private final LedgerTable table;
  private final ProxyEntry proxy;
  private final Map<String, Double> weights = new TreeMap<>();
  private final Map<String, Boolean> ejections = new TreeMap<>();
  private final Map<String, Boolean> notifiedEjections = new HashMap<>();

  private CatchUpBuilder(LedgerState state, ProxyEntry proxy) {
    this.state = state;
    this.proxy = proxy;
    table = state.table(proxy.table());
  }

  /**
   * Returns the missing entries of a proxy's table; empty if the stored history does not reach back
   * far enough, so that the proxy needs the complete table.
   */
  static Optional<CatchUp> build(LedgerState state, ProxyEntry proxy) {
    CatchUpBuilder builder = new CatchUpBuilder(state, proxy);
    return builder.isHistoryAvailable() ? Optional.of(builder.build()) : Optional.empty();
  }

  private boolean isHistoryAvailable() {
    long acknowledged = proxy.acknowledgedIteration();
    return acknowledged >= proxy.completeIteration() && acknowledged >= table.historyStart;
  }

  private boolean isUnacknowledged(long iteration) {
    return iteration > proxy.acknowledgedIteration();
  }

  private CatchUp build() {
    table.weights.forEach(this::addWeight);
    state.ejections.forEach(this::addEjection);
    notifiedEjections.keySet().removeAll(ejections.keySet());
    return new CatchUp(
        proxy.table(), weights, missingAdmissionLevels(), ejections, notifiedEjections);
  }

  /** Adds a missing weight, and the ejection state of its server: an update contains both. */
  private void addWeight(String server, WeightEntry entry) {
    EjectionEntry ejection = state.ejections.get(server);
    if (isUnacknowledged(entry.iteration())) {
      weights.put(server, entry.weight());
      if (entry.isInTable() && ejection != null) {
        ejections.put(server, ejection.isEjected());
      }
    } else if (entry.isInTable()) {
      notifiedEjections.put(server, ejection != null && ejection.isEjected());
    }
  }

  private void addEjection(String server, EjectionEntry ejection) {
    if (!table.weights.containsKey(server)) {
      return;
    }
    if (isUnacknowledged(ejection.iteration())) {
      ejections.put(server, ejection.isEjected());
    } else if (ejection.isEjected()) {
      notifiedEjections.put(server, true);
    }
  }

  private Map<Integer, AdmissionLevel> missingAdmissionLevels() {
    Map<Integer, AdmissionLevel> levels = new TreeMap<>();
    table.admissions.forEach(
        (requestClass, entry) -> {
          if (isUnacknowledged(entry.iteration())) {
            levels.put(requestClass, entry.level());
          }
        });
    return levels;
  }
}
