package pearusher.policy;

/** How a probe ended. */
public enum HealthCheckResult {
  OK,
  ERROR,
  TURNED_AWAY,
  NO_ANSWER,
  DOWN,
  BROKEN,
  OTHER
}
