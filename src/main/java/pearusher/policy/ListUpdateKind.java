package pearusher.policy;

/** What a list of servers is. */
public enum ListUpdateKind {
  CHANGES,
  WHOLE,
  CACHED,
  FAILED
}
