package pearusher.store;

import java.io.IOException;

/** Why a store can't be used; the text names the place, what is wrong there and what would help. */
public final class StoreException extends IOException {
  private static final long serialVersionUID = 1L;

  /** The closed set of reasons. */
  public enum Reason {
    /** Another process holds the directory. */
    LOCKED,
    /** The files were written by a newer program. */
    NEWER,
    /** The directory is missing, unreadable or holds no store. */
    ABSENT,
    /** What was once confirmed can't be read any more. */
    DAMAGED,
    /** A write or sync failed; the store takes no more. */
    FAILED
  }

  private final Reason reason;

  StoreException(Reason reason, String text) {
    super(text);
    this.reason = reason;
  }

  StoreException(Reason reason, String text, Throwable cause) {
    super(text, cause);
    this.reason = reason;
  }

  public Reason reason() {
    return reason;
  }
}
