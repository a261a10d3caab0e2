package pearusher.policy;

/** Meaning of the entries of an endpoint list update. */
public enum ListUpdateKind {
  /** The servers that changed. */
  DELTA,
  /** All servers. */
  COMPLETE,
  /** All servers of the last list received, while discovery does not answer. */
  CACHED,
  /** No entries, because the watch or the request failed. */
  FAILED
}
