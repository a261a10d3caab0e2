package pearusher.protocol;

/** Shortens texts received from peers before an error message quotes them. */
final class FaultText {
  private static final int MAX_QUOTED_LENGTH = 40;

  private FaultText() {}

  static String abbreviate(String text) {
    return text.length() > MAX_QUOTED_LENGTH ? text.substring(0, MAX_QUOTED_LENGTH) + "..." : text;
  }
}
