package pearusher.store;

/**
 * Settings of a store.
 *
 * @param policy when an appended batch counts as durable
 * @param intervalUs delay in microseconds in which {@link Policy#INTERVAL} collects batches before
 *     it syncs them together
 * @param segmentBytes length in bytes at which a log ends and the next one starts
 * @param minCompactionBytes minimum total length of the logs for a compaction, in bytes
 * @param minCompactionFactor minimum total length of the logs for a compaction, as a multiple of
 *     the length of the last checkpoint; both minimums must be reached
 * @param onDamage how a start handles confirmed records that can't be read
 */
public record StoreOptions(
    Policy policy,
    long intervalUs,
    long segmentBytes,
    long minCompactionBytes,
    double minCompactionFactor,
    Damage onDamage) {

  /** The policy for syncing batches. */
  public enum Policy {
    /** Syncs all waiting batches together as soon as the previous sync is complete. */
    EACH,
    /** Syncs the batches that arrive within an interval together. */
    INTERVAL,
    /** Commits without a sync: a power failure may lose batches, a kill of the process does not. */
    NONE
  }

  /** The handling of damage when the store is opened. */
  public enum Damage {
    /** Opening fails. */
    REFUSE,
    /** Continues from the last consistent state before the damage, and reports the loss. */
    STOP
  }

  /** The default settings. */
  public static final StoreOptions DEFAULT =
      new StoreOptions(Policy.EACH, 20_000, 8 << 20, 1 << 20, 2, Damage.REFUSE);
}
