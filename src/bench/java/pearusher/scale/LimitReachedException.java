package pearusher.scale;

/**
 * Thrown when a run cannot reach its size. The message names the limit and the size that was
 * reached.
 */
final class LimitReachedException extends Exception {
  private static final long serialVersionUID = 1L;

  LimitReachedException(String limit, String reached) {
    super("limit " + limit + "; reached: " + reached);
  }
}
