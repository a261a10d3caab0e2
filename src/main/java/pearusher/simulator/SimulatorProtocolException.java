package pearusher.simulator;

/**
 * Thrown if the input violates the simulator's protocol. The message names the position and, where
 * known, the record code.
 */
public final class SimulatorProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Kind of protocol violation. */
  public enum Kind {
    /** The input ends within a header, a frame or a record. */
    TRUNCATED,
    /** The length or the number of records of a frame differs from its content, or is too large. */
    LENGTH_MISMATCH,
    /** The code of a record or of a field is not defined. */
    UNKNOWN_CODE,
    /** An event precedes the first record that names an instance. */
    NO_INSTANCE,
    /** The settings of an instance are invalid. */
    INVALID_SETTINGS
  }

  private final Kind kind;

  /** Creates an exception of a kind; the text is shown to the operator. */
  public SimulatorProtocolException(Kind kind, String text) {
    super(text);
    this.kind = kind;
  }

  public Kind kind() {
    return kind;
  }

  /** Returns an exception whose message also has the position of the frame in the input. */
  SimulatorProtocolException inFrameAt(long offset) {
    return new SimulatorProtocolException(kind, "frame at byte " + offset + ": " + getMessage());
  }
}
