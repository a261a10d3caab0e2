package pearusher.publish;

import java.util.Optional;
import pearusher.policy.AdmissionLevel;

/**
 * The admission levels that hold for all tables, by request class, and which of them were set in
 * this iteration. Only the event-loop thread uses it. It grows with the request classes.
 */
final class GlobalAdmissionLevels {
  private final AdmissionLevel[] levels;
  private ClassSet changed = ClassSet.EMPTY;

  GlobalAdmissionLevels(int classCount) {
    levels = new AdmissionLevel[classCount];
  }

  void set(ClassSet classes, AdmissionLevel level) {
    classes.forEach(requestClass -> levels[requestClass] = level);
    changed = changed.union(classes);
  }

  /** Returns the level of a class, if one was set. */
  Optional<AdmissionLevel> get(int requestClass) {
    return Optional.ofNullable(levels[requestClass]);
  }

  /** Returns the classes whose level was set in this iteration. */
  ClassSet changed() {
    return changed;
  }

  /**
   * Returns the level that is in force for a class of a table: the lower of the table's own and the
   * global one, with the table's own retry policy.
   */
  Optional<AdmissionLevel> effective(PublishedTable table, int requestClass) {
    AdmissionLevel own = table.level(requestClass);
    AdmissionLevel global = levels[requestClass];
    if (own == null || global == null) {
      return Optional.ofNullable(own == null ? global : own);
    }
    double lower = Math.min(own.probabilityOrRate(), global.probabilityOrRate());
    return Optional.of(new AdmissionLevel(lower, own.retryMode()));
  }

  void endIteration() {
    changed = ClassSet.EMPTY;
  }
}
