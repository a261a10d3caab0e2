package pearusher.policy;

/** Outcome of a health check. */
public enum HealthCheckResult {
  OK,
  ERROR,
  REJECTED,
  TIMED_OUT,
  UNREACHABLE,
  DISCONNECTED,
  OTHER
}
