package pearusher.policy;

/** The timers of the policy, by the token that the caller hands back. */
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
