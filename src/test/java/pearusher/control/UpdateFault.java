package pearusher.control;

/** A fault that {@link UpdateChecker} or a comparison of tables found. */
public record UpdateFault(Kind kind, String description) {
  /** The kind of fault. */
  public enum Kind {
    /** An update cannot be applied. */
    NOT_APPLICABLE,
    /** An acknowledgement number is not higher than the previous one. */
    ACK_NUMBER,
    /** A complete table was sent to a proxy that had acknowledged it. */
    UNNEEDED_COMPLETE_TABLE,
    /** A setting that the proxy had acknowledged was sent again. */
    REPEATED,
    /** A retry policy may run a request twice though it is not idempotent. */
    UNSAFE_RETRY,
    /** A proxy may still send requests to a server that has been draining beyond the slack. */
    DRAINING_SERVER,
    /** The weights of a proxy differ from those of a proxy that was sent the complete table. */
    DIVERGED_WEIGHTS,
    /** The admission level of a proxy differs from that of one that was sent the complete table. */
    DIVERGED_LEVEL,
    /** A start refused the store. */
    STORE_REFUSED
  }

  static UpdateFault ofProxy(Kind kind, int proxy, String description) {
    return new UpdateFault(kind, "proxy " + proxy + ": " + description);
  }
}
