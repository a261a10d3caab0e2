package pearusher.protocol;

import java.util.Map;
import pearusher.policy.Lifecycle;
import pearusher.sitesettings.PathValues;
import pearusher.sitesettings.SettingsException;

/**
 * A line of discovery's list; a zone or kind is its position in the settings, address null if
 * unusable.
 */
public record Endpoint(
    String server,
    String hostPort,
    int zone,
    int kind,
    int cell,
    Lifecycle state,
    double weight,
    long startedUs) {

  private static final Map<String, Lifecycle> STATES =
      Map.of(
          "in_service",
          Lifecycle.READY,
          "terminating",
          Lifecycle.DRAINING,
          "terminated",
          Lifecycle.GONE);

  /** No address and port that can be used is longer. */
  private static final int MOST_ADDRESS = 64;

  /**
   * One of its fields; null in a zone that the settings don't have, which is passed over. A
   * lifecycle that is not known is one that wants nothing new.
   */
  static Endpoint of(PathValues at, WireNames names) throws SettingsException {
    Integer zone = names.zones().get(at.need("zone"));
    if (zone == null) {
      return null;
    }
    String id = at.need("instanceId");
    if (id.codePointCount(0, id.length()) > EndpointListLimits.MOST_ID) {
      throw at.fault(
          "instanceId",
          "is longer than "
              + EndpointListLimits.MOST_ID
              + " characters: '"
              + Message.brief(id)
              + "'");
    }
    String hostPort = at.text("hostPort");
    return new Endpoint(
        id,
        hostPort == null || hostPort.length() > MOST_ADDRESS ? null : hostPort,
        zone,
        names.kinds().getOrDefault(at.text("machineType"), names.kinds().size()),
        (int) at.optional("cell"),
        STATES.getOrDefault(at.need("lifecycle"), Lifecycle.DRAINING),
        at.has("weight") ? at.real("weight") : 1,
        Math.round(at.optional("startedAtMs") * 1000));
  }
}
