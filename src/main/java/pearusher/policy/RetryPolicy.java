package pearusher.policy;

/**
 * Determines whether proxies retry. They retry after proof that the first attempt did not run,
 * which is safe for every request class. During an overload they do not retry, since retries of
 * rejected requests would increase it.
 */
final class RetryPolicy {
  static final int NO_RETRY = 0;
  static final int RETRY_IF_NOT_RUN = 1;

  private final OverloadDetector overload;

  RetryPolicy(OverloadDetector overload) {
    this.overload = overload;
  }

  int mode() {
    return overload.isOverloaded() ? NO_RETRY : RETRY_IF_NOT_RUN;
  }
}
