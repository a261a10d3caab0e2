package pearusher.control;

/** A fault that a check of updates found. */
public record UpdateFault(Kind kind, String description) {
  /** What is wrong. */
  public enum Kind {
    /** An update cannot be applied. */
    NOT_APPLICABLE,
    /** An acknowledgement number does not rise. */
    ACK_NUMBER,
    /** A complete table was sent to a proxy that had acknowledged it. */
    UNNEEDED_COMPLETE_TABLE,
    /** A setting was sent again that the proxy had acknowledged. */
    REPEATED,
    /** A retry policy may run a request twice that is not idempotent. */
    UNSAFE_RETRY,
    /** A proxy may send to a server that has long been draining. */
    DRAINING_SERVER,
    /** A proxy's weights differ from those of a proxy that was sent the complete table. */
    DIVERGED_WEIGHTS,
    /** A proxy's admission level differs from that of a proxy that was sent the complete table. */
    DIVERGED_LEVEL,
    /** A start refused the store. */
    STORE_REFUSED
  }

  static UpdateFault ofProxy(Kind kind, int proxy, String description) {
    return new UpdateFault(kind, "proxy " + proxy + ": " + description);
  }
}
