package pearusher.policy;

/** What the list says of a server. */
public enum Lifecycle {
  REMOVED,
  READY,
  DRAINING
}
