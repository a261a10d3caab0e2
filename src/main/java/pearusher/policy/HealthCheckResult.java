package pearusher.policy;

/** How a health check ended. */
public enum HealthCheckResult {
  OK,
  ERROR,
  REJECTED,
  TIMED_OUT,
  UNREACHABLE,
  DISCONNECTED,
  OTHER
}
