package pearusher.store;

import java.io.IOException;

/** A store can't be used; the message names the place, the fault and a remedy. */
public final class StoreException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Why a store can't be used. */
  public enum Reason {
    /** Another process holds the directory. */
    LOCKED,
    /** The files were written by a newer program. */
    NEWER,
    /** The directory is missing, unreadable or holds no store. */
    ABSENT,
    /** Confirmed records can't be read any more. */
    DAMAGED,
    /** A write or sync failed; the store accepts no more batches. */
    FAILED
  }

  private final Reason reason;

  StoreException(Reason reason, String message) {
    super(message);
    this.reason = reason;
  }

  StoreException(Reason reason, String message, Throwable cause) {
    super(message, cause);
    this.reason = reason;
  }

  public Reason reason() {
    return reason;
  }
}
