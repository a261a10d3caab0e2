package pearusher.scale;

/**
 * Which tables a proxy was sent on one stream, and which of them it needed. An assigner without a
 * store does not know what another one sent, and of a shared fleet a store knows no more: a proxy
 * that joins needs one complete table for each class, at once or after the restart hold. From then
 * on changes suffice, so any further complete table on the stream is not needed. Of a join surge,
 * which binds twice, the channel of the run is too wide. Owned by the event loop of the proxies; of
 * constant size.
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

  /** Whether changes of weights are due: a complete table for each of these classes came before. */
  boolean expectsWeights(int classes) {
    return (classes & ~completeClasses) == 0;
  }

  /** Whether a complete table came for all classes. */
  boolean isBound() {
    return completeClasses == allClasses;
  }
}
