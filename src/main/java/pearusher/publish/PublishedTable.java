package pearusher.publish;

import java.util.Arrays;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import pearusher.policy.AdmissionLevel;

/**
 * One table as the policy set it: weights, admission levels, and what of them was set in this
 * iteration. Only the event-loop thread uses it. It grows with the servers of the table.
 */
final class PublishedTable {
  /** By server; all above 0. */
  private final Map<Long, Double> weights = new TreeMap<>();

  /** By request class; null where none was set. */
  private final AdmissionLevel[] levels;

  private final Set<Long> changedServers = new TreeSet<>();
  private ClassSet changedLevels = ClassSet.EMPTY;
  private boolean isCleared;

  PublishedTable(int classCount) {
    levels = new AdmissionLevel[classCount];
  }

  /** Restores what an earlier process had set; it does not count as a change. */
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

  /** Returns the weight of a server, 0 if the table does not contain it. */
  double weight(long server) {
    return weights.getOrDefault(server, 0.0);
  }

  /** Returns the admission level of a class, or null if none was set. */
  AdmissionLevel level(int requestClass) {
    return levels[requestClass];
  }

  /** Returns the servers whose weights were set in this iteration, removed ones included. */
  Set<Long> changedServers() {
    return Collections.unmodifiableSet(changedServers);
  }

  /** Returns the classes whose levels were set in this iteration. */
  ClassSet changedLevels() {
    return changedLevels;
  }

  /** Whether the table was cleared in this iteration. */
  boolean isCleared() {
    return isCleared;
  }

  /** Whether anything was set in this iteration. */
  boolean isChanged() {
    return isCleared || !changedLevels.isEmpty() || !changedServers.isEmpty();
  }

  /** Whether the table was cleared in this iteration and is empty since. */
  boolean isEmptied() {
    return isCleared && weights.isEmpty();
  }

  void endIteration() {
    changedServers.clear();
    changedLevels = ClassSet.EMPTY;
    isCleared = false;
  }
}
