package pearusher.policy;

/**
 * Whether proxies retry. They do after proof that the first attempt never ran, which is safe for
 * every class; in an overload they don't, since retries of rejected requests would feed it.
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
