package pearusher.policy;

/** What a list of servers is. */
public enum ListUpdateKind {
  DELTA,
  COMPLETE,
  CACHED,
  FAILED
}
