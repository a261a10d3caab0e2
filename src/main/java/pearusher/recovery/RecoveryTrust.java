package pearusher.recovery;

/**
 * How far a start trusts the stored ledger, and why not further; the description is for the log.
 */
public enum RecoveryTrust {
  FULL("all of it is trusted"),
  /** The store was empty. */
  EMPTY("it is new"),
  /** Commands issued after the copy was made may be in force. */
  RESTORED_COPY("it was restored from a copy"),
  /** Commands may be in force that an earlier process issued after it abandoned the store. */
  ABANDONED("an earlier process abandoned it"),
  /** Another assigner may have issued commands since the last record. */
  STALE("its last record is too old"),
  /** The last record is from the future: one of the clocks is wrong. */
  CLOCK_SKEW("its last record is later than the clock"),
  /** The names of the assigner, zones or request classes differ: positions mean something else. */
  OTHER_SETTINGS("it was written under other settings"),
  /** This program can't decode a value. */
  UNREADABLE("a value in it can't be read"),
  /** Proxies may have joined another assigner meanwhile and hold its tables. */
  SHARED_FLEET("proxies may have followed another assigner");

  private final String description;

  RecoveryTrust(String description) {
    this.description = description;
  }

  public String description() {
    return description;
  }

  /** Whether tables, admission levels and the endpoint list may be taken over. */
  public boolean trustsTables() {
    return this == FULL || this == SHARED_FLEET;
  }
}
