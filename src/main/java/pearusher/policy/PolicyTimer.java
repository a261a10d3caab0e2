package pearusher.policy;

/** Timers of the policy. The caller returns the token of a timer when it fires. */
enum PolicyTimer {
  CONTROL_PERIOD(1),
  ENDPOINT_LIST_WATCH(2),
  PUBLISH(3);

  final long token;

  PolicyTimer(long token) {
    this.token = token;
  }

  boolean matches(long otherToken) {
    return token == otherToken;
  }
}
