package pearusher.protocol;

import java.util.List;

/** Discovery's answer: the whole list, or what changed. */
public record EndpointList(long generation, boolean complete, List<Endpoint> endpoints) {
  /** What is known where nothing was told. */
  public static final EndpointList EMPTY = new EndpointList(0, true, List.of());
}
