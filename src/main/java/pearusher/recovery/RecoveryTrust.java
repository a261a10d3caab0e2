package pearusher.recovery;

/**
 * How far a start trusts the stored ledger, with the reason if it is not trusted completely. The
 * log contains the description.
 */
public enum RecoveryTrust {
  FULL("all of it is trusted"),
  /** The store was empty. */
  EMPTY("it is new"),
  /** Proxies may follow commands that were issued after the copy was made. */
  RESTORED_COPY("it was restored from a copy"),
  /** Proxies may follow commands that an earlier process issued after it abandoned the store. */
  ABANDONED("an earlier process continued without it"),
  /** Another assigner may have issued commands since the last record. */
  STALE("its last record is too old"),
  /** The time of the last record is in the future: one of the clocks is wrong. */
  CLOCK_SKEW("the time of its last record is in the future"),
  /**
   * The names of the assigner, zones or request classes differ, so stored positions have a
   * different meaning.
   */
  OTHER_SETTINGS("it was written with other names of assigner, zones or request classes"),
  /** A stored key or value can't be decoded. */
  UNREADABLE("a key or value in it can't be decoded"),
  /** Proxies may have joined another assigner since the last record, and have its tables. */
  SHARED_FLEET("proxies may have followed another assigner");

  private final String description;

  RecoveryTrust(String description) {
    this.description = description;
  }

  public String description() {
    return description;
  }

  /** Returns whether stored tables, admission levels and the endpoint list may be used. */
  public boolean allowsStoredTables() {
    return this == FULL || this == SHARED_FLEET;
  }
}
