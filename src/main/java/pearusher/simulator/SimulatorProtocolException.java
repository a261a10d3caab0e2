package pearusher.simulator;

/** Input that is not the wire's; the text names the position and the code. */
public final class SimulatorProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  public SimulatorProtocolException(String text) {
    super(text);
  }
}
