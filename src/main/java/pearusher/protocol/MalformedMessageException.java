package pearusher.protocol;

/** A RESP message with an unknown kind or an invalid field; the text names the field. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message the error message, with the name of the field
   */
  public MalformedMessageException(String message) {
    super(message);
  }
}
