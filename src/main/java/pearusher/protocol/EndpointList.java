package pearusher.protocol;

import java.util.List;

/**
 * The list of servers, or changes to it, as discovery sends them.
 *
 * @param generation discovery's version of the list
 * @param complete whether this is the complete list rather than changes to it
 * @param endpoints the servers listed, or those that changed
 */
public record EndpointList(long generation, boolean complete, List<Endpoint> endpoints) {
  /** The list before discovery sent any. */
  public static final EndpointList EMPTY = new EndpointList(0, true, List.of());
}
