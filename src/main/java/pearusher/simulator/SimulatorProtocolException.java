package pearusher.simulator;

/**
 * Input that does not follow the simulator's protocol; the text names the position and the code.
 */
public final class SimulatorProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  /** What is wrong with the input. */
  public enum Kind {
    /** The input ends within a header, a frame or a record. */
    TRUNCATED,
    /** Length and number of records of a frame don't agree with its content. */
    LENGTH_MISMATCH,
    /** A code of a record or of a field has no meaning. */
    UNKNOWN_CODE,
    /** An event comes before the instance that it belongs to. */
    NO_INSTANCE,
    /** The settings of an instance can't be used. */
    INVALID_SETTINGS
  }

  private final Kind kind;

  /** Creates a fault of a kind; the text is shown to the operator. */
  public SimulatorProtocolException(Kind kind, String text) {
    super(text);
    this.kind = kind;
  }

  public Kind kind() {
    return kind;
  }

  /** The same fault with the position of its frame in the input. */
  SimulatorProtocolException inFrameAt(long offset) {
    return new SimulatorProtocolException(kind, "frame at byte " + offset + ": " + getMessage());
  }
}
