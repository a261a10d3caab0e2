package pearusher.recovery;

/** Why a start believes less of what it found than all; the text is for the log. */
public enum RecoveryTrust {
  FULL("all of it is believed"),
  /** Nothing was there. */
  EMPTY("it is new"),
  /** Put back from a copy: orders given after the copy was made may be out. */
  RESTORED_COPY("it was restored from a copy"),
  /** An earlier process went on without its store: orders may be out that it does not hold. */
  ABANDONED("an earlier process went on without it"),
  /** The last word is too old: who knows who ordered since then. */
  STALE("its last word is too old"),
  /** The last word comes from the future: one of the clocks is wrong. */
  CLOCK_SKEW("its last word is later than the clock"),
  /** Zones, classes or the assigner are others: positions mean something else. */
  OTHER_SETTINGS("it was written under other settings"),
  /** A value can't be read by this program. */
  UNREADABLE("a value in it can't be read"),
  /** Proxies may have joined another assigner meanwhile and hold its tables. */
  SHARED_FLEET("proxies may have followed another assigner");

  private final String text;

  RecoveryTrust(String text) {
    this.text = text;
  }

  public String description() {
    return text;
  }

  /** Tables, levels and the list may be taken over. */
  public boolean trustsTables() {
    return this == FULL || this == SHARED_FLEET;
  }
}
