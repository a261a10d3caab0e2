package pearusher.policy;

/** The values that a load report may hold. */
public enum LoadMetric {
  INFLIGHT,
  QUEUE,
  UTIL,
  LATENCY_MS,
  PER_S,
  ERRORS_PER_S,
  OTHER
}
