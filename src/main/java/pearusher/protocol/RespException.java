package pearusher.protocol;

import java.io.IOException;

/** Received bytes that are not RESP messages or exceed a limit. */
public final class RespException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Kind of fault. */
  public enum Kind {
    /** The bytes are not RESP2 arrays of bulk strings. */
    MALFORMED,
    /** The bytes exceed the limit on one message or on all unfinished messages together. */
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
