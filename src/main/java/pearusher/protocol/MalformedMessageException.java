package pearusher.protocol;

/** A message that is well framed but cannot be used; the text names the faulty field. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message what is wrong, with the name of the field
   */
  public MalformedMessageException(String message) {
    super(message);
  }
}
