package pearusher.policy;

/** Where load reports come from. */
public enum LoadReportSource {
  ANSWERS,
  PROBES,
  NOWHERE
}
