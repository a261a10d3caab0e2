package pearusher.scale;

/** Thrown when a run description is invalid. The message names the invalid option or file. */
final class RunDescriptionException extends Exception {
  private static final long serialVersionUID = 1L;

  RunDescriptionException(String text) {
    super(text);
  }
}
