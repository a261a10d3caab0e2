package pearusher.policy;

/** Source of the load metrics of servers. */
public enum LoadReportSource {
  RESPONSES,
  HEALTH_CHECKS,
  NONE
}
