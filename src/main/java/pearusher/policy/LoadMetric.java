package pearusher.policy;

/** Metrics that a load report may contain. */
public enum LoadMetric {
  IN_FLIGHT,
  QUEUE_LENGTH,
  UTILIZATION,
  LATENCY_MS,
  REQUESTS_PER_SECOND,
  ERRORS_PER_SECOND,
  OTHER
}
