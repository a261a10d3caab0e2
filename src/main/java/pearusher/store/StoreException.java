package pearusher.store;

import java.io.IOException;

/**
 * Thrown if a store can't be used. The message names the directory and the fault, and a remedy
 * where there is one.
 */
public final class StoreException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Why a store can't be used. */
  public enum Reason {
    /** Another process has locked the directory. */
    LOCKED,
    /** The files have a newer format than this version reads. */
    NEWER,
    /**
     * The directory is missing, unreadable or contains no store, or a directory for a copy is not
     * empty.
     */
    ABSENT,
    /** Confirmed records can't be read, or the directory contains files of several stores. */
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
