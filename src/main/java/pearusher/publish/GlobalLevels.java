package pearusher.publish;

import pearusher.protocol.Message;

/**
 * The levels that were ordered for all tables, by class, and which of them changed this turn. Only
 * the decision thread uses it. It grows with the classes.
 */
final class GlobalLevels {
  private final Message.Level[] levels;
  private int changed;

  GlobalLevels(int classes) {
    levels = new Message.Level[classes];
  }

  void order(int which, Message.Level level) {
    set(levels, which, level);
    changed |= which;
  }

  /** Sets the level of each class of a set. */
  static void set(Message.Level[] levels, int which, Message.Level level) {
    for (int k = 0; k < levels.length; k++) {
      levels[k] = (which >> k & 1) != 0 ? level : levels[k];
    }
  }

  /** The level for all of a class; null where none was ordered. */
  Message.Level get(int grade) {
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
  Message.Level effective(TableState table, int grade) {
    Message.Level own = table == null ? null : table.levels[grade];
    Message.Level all = levels[grade];
    return own == null
        ? all
        : all == null ? own : new Message.Level(Math.min(own.level(), all.level()), own.retry());
  }

  void endTurn() {
    changed = 0;
  }
}
