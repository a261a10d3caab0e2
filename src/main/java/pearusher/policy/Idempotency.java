package pearusher.policy;

/** What a repeat of a request of a class may do. */
public enum Idempotency {
  IDEMPOTENT,
  WITH_KEY,
  NOT_IDEMPOTENT
}
