package pearusher.recovery;

/**
 * The conditions of a start that determine how far the stored values are trusted.
 *
 * @param storeTrust how far the store itself is trusted: {@link RecoveryTrust#FULL} unless there is
 *     a reason for less
 * @param configuredNames names of the assigner, request classes and zones, which define the meaning
 *     of stored positions
 * @param nowUs Unix time in microseconds
 * @param maxAgeUs maximum age of the last record in microseconds
 * @param hasOtherAssigners whether there are other assigners that proxies may join
 */
public record RecoveryConditions(
    RecoveryTrust storeTrust,
    String configuredNames,
    long nowUs,
    long maxAgeUs,
    boolean hasOtherAssigners) {

  /**
   * A record may be ahead of the clock by the maximum age divided by this, because clocks of one
   * machine may differ.
   */
  private static final int CLOCK_TOLERANCE_DIVISOR = 10;

  /** Returns how far a ledger with this header is trusted. */
  RecoveryTrust assess(LedgerHeader header) {
    if (storeTrust != RecoveryTrust.FULL) {
      return storeTrust;
    }
    if (!header.configuredNames().equals(configuredNames)) {
      return RecoveryTrust.OTHER_SETTINGS;
    }
    if (header.timeUs() - nowUs > maxAgeUs / CLOCK_TOLERANCE_DIVISOR) {
      return RecoveryTrust.CLOCK_SKEW;
    }
    if (nowUs - header.timeUs() > maxAgeUs) {
      return RecoveryTrust.STALE;
    }
    return hasOtherAssigners ? RecoveryTrust.SHARED_FLEET : RecoveryTrust.FULL;
  }
}
