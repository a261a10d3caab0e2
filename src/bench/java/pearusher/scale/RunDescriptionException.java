package pearusher.scale;

/** A run description is invalid; the message names the key. */
final class RunDescriptionException extends Exception {
  private static final long serialVersionUID = 1L;

  RunDescriptionException(String text) {
    super(text);
  }
}
