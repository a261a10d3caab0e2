package pearusher.policy;

/** Where servers report their load metrics. */
public enum LoadReportSource {
  RESPONSES,
  HEALTH_CHECKS,
  NONE
}
