package pearusher.recovery;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import pearusher.policy.AdmissionLevel;

/**
 * Computes what a proxy lacks of its table since the iteration that it last acknowledged. An
 * instance serves one proxy once.
 */
final class CatchUpBuilder {
  private final LedgerState state;
  private final LedgerTable table;
  private final ProxyEntry proxy;
  private final Map<String, Double> weights = new TreeMap<>();
  private final Map<String, Boolean> ejections = new TreeMap<>();
  private final Map<String, Boolean> announced = new HashMap<>();

  private CatchUpBuilder(LedgerState state, ProxyEntry proxy) {
    this.state = state;
    this.proxy = proxy;
    table = state.table(proxy.table());
  }

  /** What the proxy lacks; empty where that is not known and it needs the complete table. */
  static Optional<CatchUp> build(LedgerState state, ProxyEntry proxy) {
    CatchUpBuilder builder = new CatchUpBuilder(state, proxy);
    return builder.isHistoryKnown() ? Optional.of(builder.build()) : Optional.empty();
  }

  private boolean isHistoryKnown() {
    long acknowledged = proxy.acknowledgedIteration();
    return acknowledged >= proxy.completeIteration() && acknowledged >= table.historyStart;
  }

  private boolean isMissing(long iteration) {
    return iteration > proxy.acknowledgedIteration();
  }

  private CatchUp build() {
    table.weights.forEach(this::addWeight);
    state.ejections.forEach(this::addEjection);
    announced.keySet().removeAll(ejections.keySet());
    return new CatchUp(proxy.table(), weights, missingAdmissionLevels(), ejections, announced);
  }

  /** A weight entry is always sent together with the ejection state of its server. */
  private void addWeight(String server, WeightEntry entry) {
    EjectionEntry ejection = state.ejections.get(server);
    if (isMissing(entry.iteration())) {
      weights.put(server, entry.weight());
      if (entry.isListed() && ejection != null) {
        ejections.put(server, ejection.isEjected());
      }
    } else if (entry.isListed()) {
      announced.put(server, ejection != null && ejection.isEjected());
    }
  }

  private void addEjection(String server, EjectionEntry ejection) {
    if (!table.weights.containsKey(server)) {
      return;
    }
    if (isMissing(ejection.iteration())) {
      ejections.put(server, ejection.isEjected());
    } else if (ejection.isEjected()) {
      announced.put(server, true);
    }
  }

  private Map<Integer, AdmissionLevel> missingAdmissionLevels() {
    Map<Integer, AdmissionLevel> levels = new TreeMap<>();
    table.admissions.forEach(
        (requestClass, entry) -> {
          if (isMissing(entry.iteration())) {
            levels.put(requestClass, entry.level());
          }
        });
    return levels;
  }
}
