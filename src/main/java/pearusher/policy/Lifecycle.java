package pearusher.policy;

/** Lifecycle state of a server in the endpoint list. Stored data contains the ordinals. */
public enum Lifecycle {
  REMOVED,
  READY,
  DRAINING
}
