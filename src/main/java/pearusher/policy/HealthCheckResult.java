package pearusher.policy;

/** How a probe ended. */
public enum HealthCheckResult {
  OK,
  ERROR,
  REJECTED,
  TIMED_OUT,
  UNREACHABLE,
  DISCONNECTED,
  OTHER
}
