package pearusher.protocol;

import java.util.List;

/**
 * An endpoint list of discovery: the complete list of servers, or a delta to it.
 *
 * @param generation the version of the list that discovery assigned
 * @param complete true for the complete list, false for a delta
 * @param endpoints all servers of a complete list, or the changed servers of a delta
 */
public record EndpointList(long generation, boolean complete, List<Endpoint> endpoints) {
  /** The list in use before discovery has sent one. */
  public static final EndpointList EMPTY = new EndpointList(0, true, List.of());
}
