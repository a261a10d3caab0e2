package pearusher.policy;

/** Whether the requests of a class may be repeated. */
public enum Idempotency {
  IDEMPOTENT,
  /** Servers discard repeated requests by their idempotency key. */
  WITH_KEY,
  NOT_IDEMPOTENT
}
