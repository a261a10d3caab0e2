package pearusher.policy;

/** Where load reports come from. */
public enum LoadReportSource {
  RESPONSES,
  HEALTH_CHECKS,
  NONE
}
