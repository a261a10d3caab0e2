package pearusher.policy;

/** What an update of the endpoint list holds. */
public enum ListUpdateKind {
  /** The servers that changed. */
  DELTA,
  /** All servers. */
  COMPLETE,
  /** All servers as last known, while discovery does not answer. */
  CACHED,
  /** Nothing: the watch or the request failed. */
  FAILED
}
