package pearusher.store;

/**
 * How a store works.
 *
 * @param policy when what is appended counts as there
 * @param intervalUs under {@link Policy#INTERVAL}: how long appends gather before they are synced
 *     together
 * @param segmentBytes a log file ends once it is longer
 * @param compactBytes least length of all logs, in bytes, at which they are compacted
 * @param compactTimes and least multiple of the last checkpoint's length
 * @param onDamage what a start does about bytes that were confirmed once and can't be read
 */
public record StoreOptions(
    Policy policy,
    long intervalUs,
    long segmentBytes,
    long compactBytes,
    double compactTimes,
    Damage onDamage) {

  /**
   * Sync after each group that waits, after a time of gathering, or never (a killed process loses
   * nothing).
   */
  public enum Policy {
    EACH,
    INTERVAL,
    NONE
  }

  /**
   * Refuse to start, or go on from the last consistent state before the damage and say what is
   * lost.
   */
  public enum Damage {
    REFUSE,
    STOP
  }

  /** Values in force where nothing else is said. */
  public static final StoreOptions DEFAULT =
      new StoreOptions(Policy.EACH, 20_000, 8 << 20, 1 << 20, 2, Damage.REFUSE);
}
