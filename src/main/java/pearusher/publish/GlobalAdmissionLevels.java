package pearusher.publish;

import pearusher.policy.AdmissionLevel;

/**
 * The levels that were ordered for all tables, by class, and which of them changed this turn. Only
 * the decision thread uses it. It grows with the classes.
 */
final class GlobalAdmissionLevels {
  private final AdmissionLevel[] levels;
  private int changed;

  GlobalAdmissionLevels(int classes) {
    levels = new AdmissionLevel[classes];
  }

  void order(int which, AdmissionLevel level) {
    set(levels, which, level);
    changed |= which;
  }

  /** Sets the level of each class of a set. */
  static void set(AdmissionLevel[] levels, int which, AdmissionLevel level) {
    for (int k = 0; k < levels.length; k++) {
      levels[k] = (which >> k & 1) != 0 ? level : levels[k];
    }
  }

  /** The level for all of a class; null where none was ordered. */
  AdmissionLevel get(int grade) {
    return levels[grade];
  }

  /** Classes whose level for all was ordered this turn. */
  int changed() {
    return changed;
  }

  /**
   * What holds for a class: of a table's level and that for all the lower, with the table's own
   * retry.
   */
  AdmissionLevel effective(PublishedTable table, int grade) {
    AdmissionLevel own = table == null ? null : table.levels[grade];
    AdmissionLevel all = levels[grade];
    return own == null
        ? all
        : all == null
            ? own
            : new AdmissionLevel(
                Math.min(own.probabilityOrRate(), all.probabilityOrRate()), own.retry());
  }

  void endTurn() {
    changed = 0;
  }
}
