package pearusher.publish;

import java.util.Optional;
import pearusher.policy.AdmissionLevel;

/**
 * The admission levels that apply to all tables, by request class, and the classes whose level was
 * set in the current iteration. Only the event-loop thread uses it. Its size is proportional to the
 * number of request classes.
 */
final class GlobalAdmissionLevels {
  private final AdmissionLevel[] levels;
  private ClassSet changed = ClassSet.EMPTY;

  GlobalAdmissionLevels(int classCount) {
    levels = new AdmissionLevel[classCount];
  }

  /** Sets the level of the given classes. */
  void set(ClassSet classes, AdmissionLevel level) {
    classes.forEach(requestClass -> levels[requestClass] = level);
    changed = changed.union(classes);
  }

  /** Returns the global level of a class; empty if none was set. */
  Optional<AdmissionLevel> get(int requestClass) {
    return Optional.ofNullable(levels[requestClass]);
  }

  /** Returns the classes whose level was set in this iteration. */
  ClassSet changed() {
    return changed;
  }

  /**
   * Returns the level in force for a class of a table: the lower of the table's level and the
   * global level, combined with the retry policy of the table. Empty if neither level was set.
   */
  Optional<AdmissionLevel> effective(PublishedTable table, int requestClass) {
    AdmissionLevel tableLevel = table.level(requestClass);
    AdmissionLevel globalLevel = levels[requestClass];
    if (tableLevel == null || globalLevel == null) {
      return Optional.ofNullable(tableLevel == null ? globalLevel : tableLevel);
    }
    double lower = Math.min(tableLevel.shareOrRate(), globalLevel.shareOrRate());
    return Optional.of(new AdmissionLevel(lower, tableLevel.retryMode()));
  }

  void endIteration() {
    changed = ClassSet.EMPTY;
  }
}
