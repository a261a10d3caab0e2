package pearusher.publish;

import java.util.Arrays;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import pearusher.policy.AdmissionLevel;

/**
 * The weights and admission levels of one table as set by the policy, and the entries that were set
 * in the current iteration. Only the event-loop thread uses it. Its size grows with the number of
 * servers in the table.
 */
final class PublishedTable {
  /** Weights by server; all are above 0. */
  private final Map<Long, Double> weights = new TreeMap<>();

  /** Levels by request class; null if none was set. */
  private final AdmissionLevel[] levels;

  private final Set<Long> changedServers = new TreeSet<>();
  private ClassSet changedLevels = ClassSet.EMPTY;
  private boolean isCleared;

  PublishedTable(int classCount) {
    levels = new AdmissionLevel[classCount];
  }

  /** Restores the weights and levels set by an earlier process; they do not count as changes. */
  void restore(Map<Long, Double> restoredWeights, Map<Integer, AdmissionLevel> restoredLevels) {
    weights.putAll(restoredWeights);
    restoredLevels.forEach((requestClass, level) -> levels[requestClass] = level);
  }

  /** Sets the weight of a server; 0 removes it. */
  void setWeight(long server, double weight) {
    if (weight > 0) {
      weights.put(server, weight);
    } else {
      weights.remove(server);
    }
    changedServers.add(server);
  }

  void setLevel(ClassSet classes, AdmissionLevel level) {
    classes.forEach(requestClass -> levels[requestClass] = level);
    changedLevels = changedLevels.union(classes);
  }

  void clear() {
    weights.clear();
    Arrays.fill(levels, null);
    isCleared = true;
  }

  boolean contains(long server) {
    return weights.containsKey(server);
  }

  Set<Long> servers() {
    return Collections.unmodifiableSet(weights.keySet());
  }

  /** Returns the weight of a server; 0 if the table does not contain the server. */
  double weight(long server) {
    return weights.getOrDefault(server, 0.0);
  }

  /** Returns the admission level of a class, or null if none was set. */
  AdmissionLevel level(int requestClass) {
    return levels[requestClass];
  }

  /** Returns the servers whose weights were set in this iteration, including removed servers. */
  Set<Long> changedServers() {
    return Collections.unmodifiableSet(changedServers);
  }

  /** Returns the classes whose levels were set in this iteration. */
  ClassSet changedLevels() {
    return changedLevels;
  }

  /** Returns whether the table was cleared in this iteration. */
  boolean isCleared() {
    return isCleared;
  }

  /** Returns whether a weight or level was set, or the table cleared, in this iteration. */
  boolean isChanged() {
    return isCleared || !changedLevels.isEmpty() || !changedServers.isEmpty();
  }

  /** Returns whether the table was cleared in this iteration and has no servers. */
  boolean isClearedAndEmpty() {
    return isCleared && weights.isEmpty();
  }

  void endIteration() {
    changedServers.clear();
    changedLevels = ClassSet.EMPTY;
    isCleared = false;
  }
}
