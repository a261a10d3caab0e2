package pearusher.scale;

/** A run could not reach its size; the text says which limit and what size was reached. */
final class LimitReachedException extends Exception {
  private static final long serialVersionUID = 1L;

  LimitReachedException(String limit, String reached) {
    super("limit " + limit + "; reached: " + reached);
  }
}
