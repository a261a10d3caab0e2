package pearusher.policy;

/** Whether requests of a class may be repeated. */
public enum Idempotency {
  IDEMPOTENT,
  /** Repeats are discarded by an idempotency key. */
  WITH_KEY,
  NOT_IDEMPOTENT
}
