package pearusher.scale;

/**
 * The complete tables that a proxy received on one stream, and which of them it needed. An assigner
 * has no record of the tables that another assigner sent, neither without a store nor, in a shared
 * fleet, with one. A joining proxy therefore needs one complete table for each class, at once or
 * after the restart hold. Afterwards changes suffice, so a further complete table on the stream is
 * unneeded. A join surge would bind a proxy twice, but the channel of these runs is too wide for a
 * join surge. Owned by the event loop of the proxies. Of constant size.
 */
final class StreamTables {
  private final int allClasses;
  private int completeClasses;

  StreamTables(int classCount) {
    allClasses = (1 << classCount) - 1;
  }

  /** Records a complete table for these classes and returns whether the proxy needed it. */
  boolean recordCompleteTable(int classes) {
    boolean isNeeded = (classes & completeClasses) == 0;
    completeClasses |= classes;
    return isNeeded;
  }

  /**
   * Returns whether weight changes are valid: a complete table was received before for each of
   * these classes.
   */
  boolean expectsWeights(int classes) {
    return (classes & ~completeClasses) == 0;
  }

  /** Returns whether a complete table was received for each class. */
  boolean isBound() {
    return completeClasses == allClasses;
  }
}
