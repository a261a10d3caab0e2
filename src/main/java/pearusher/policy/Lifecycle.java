package pearusher.policy;

/** State of a server in the endpoint list. */
public enum Lifecycle {
  REMOVED,
  READY,
  DRAINING
}
