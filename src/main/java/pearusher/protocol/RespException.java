package pearusher.protocol;

import java.io.IOException;

/** Bytes that cannot be framed as RESP, or that exceed a limit. */
public final class RespException extends IOException {
  private static final long serialVersionUID = 1L;

  /** What is wrong with the bytes. */
  public enum Kind {
    /** They are not RESP2 arrays of bulk strings. */
    MALFORMED,
    /** They exceed a limit on one message or on all unfinished messages together. */
    TOO_LONG
  }

  private final Kind kind;

  RespException(Kind kind, String message) {
    super(message);
    this.kind = kind;
  }

  public Kind kind() {
    return kind;
  }
}
