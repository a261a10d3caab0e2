package pearusher.protocol;

import java.util.List;

/** Discovery's answer: the whole list, or what changed. */
public record EndpointList(long generation, boolean whole, List<Endpoint> instances) {
  /** What is known where nothing was told. */
  public static final EndpointList NONE = new EndpointList(0, true, List.of());
}
