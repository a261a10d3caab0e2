package pearusher.scale;

/** A description that can't be used; the text names the key. */
final class RunDescriptionException extends Exception {
  private static final long serialVersionUID = 1L;

  RunDescriptionException(String text) {
    super(text);
  }
}
