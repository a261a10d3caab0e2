package pearusher.recovery;

/**
 * What a start knows apart from the stored values, by which it decides how far to trust them.
 *
 * @param storeTrust how far the store itself is trusted: {@link RecoveryTrust#FULL} where nothing
 *     speaks against it
 * @param siteNames names of the assigner, request classes and zones, which give stored positions
 *     their meaning
 * @param nowUs Unix time in microseconds
 * @param maxAgeUs longest time in microseconds since the last record
 * @param isFleetShared whether there are other assigners that proxies may join
 */
public record RecoveryConditions(
    RecoveryTrust storeTrust, String siteNames, long nowUs, long maxAgeUs, boolean isFleetShared) {

  /** The part of the longest age that a record may be ahead: clocks of one machine may differ. */
  private static final int CLOCK_TOLERANCE_DIVISOR = 10;

  /** How far a ledger with this header is trusted. */
  RecoveryTrust assess(LedgerHeader header) {
    if (storeTrust != RecoveryTrust.FULL) {
      return storeTrust;
    }
    if (!header.siteNames().equals(siteNames)) {
      return RecoveryTrust.OTHER_SETTINGS;
    }
    if (header.timeUs() - nowUs > maxAgeUs / CLOCK_TOLERANCE_DIVISOR) {
      return RecoveryTrust.CLOCK_SKEW;
    }
    if (nowUs - header.timeUs() > maxAgeUs) {
      return RecoveryTrust.STALE;
    }
    return isFleetShared ? RecoveryTrust.SHARED_FLEET : RecoveryTrust.FULL;
  }
}
