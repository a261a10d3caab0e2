package pearusher.store;

/**
 * Settings of a store.
 *
 * @param policy when an appended batch counts as durable
 * @param intervalUs under {@link Policy#INTERVAL}: how long appends gather before they are synced
 *     together
 * @param segmentBytes length in bytes at which a log ends
 * @param compactBytes least length of all logs, in bytes, at which they are compacted
 * @param compactTimes and least multiple of the last checkpoint's length
 * @param onDamage what a start does about confirmed records that can't be read
 */
public record StoreOptions(
    Policy policy,
    long intervalUs,
    long segmentBytes,
    long compactBytes,
    double compactTimes,
    Damage onDamage) {

  /** When batches are synced. */
  public enum Policy {
    /** As soon as the last sync is done, all that wait together. */
    EACH,
    /** After an interval in which batches gather. */
    INTERVAL,
    /** Never: a power failure may lose batches, a kill of the process none. */
    NONE
  }

  /** What a start does about damage. */
  public enum Damage {
    /** It fails. */
    REFUSE,
    /** It goes on from the last consistent state before the damage and reports what is lost. */
    STOP
  }

  /** The default settings. */
  public static final StoreOptions DEFAULT =
      new StoreOptions(Policy.EACH, 20_000, 8 << 20, 1 << 20, 2, Damage.REFUSE);
}
