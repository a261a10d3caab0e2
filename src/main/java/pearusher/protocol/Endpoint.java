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
    int machineType,
    int cell,
    Lifecycle lifecycle,
    double weight,
    long startedUs) {

  private static final Map<String, Lifecycle> STATES =
      Map.of(
          "in_service",
          Lifecycle.READY,
          "terminating",
          Lifecycle.DRAINING,
          "terminated",
          Lifecycle.REMOVED);

  /** No address and port that can be used is longer. */
  private static final int MOST_ADDRESS = 64;

  /**
   * One of its fields; null in a zone that the settings don't have, which is passed over. A
   * lifecycle that is not known is one that wants nothing new.
   */
  static Endpoint of(PathValues at, WireNames names) throws SettingsException {
    Integer zone = names.zones().get(at.require("zone"));
    if (zone == null) {
      return null;
    }
    String id = at.require("instanceId");
    if (id.codePointCount(0, id.length()) > EndpointListLimits.MAX_ID_LENGTH) {
      throw at.fault(
          "instanceId",
          "is longer than "
              + EndpointListLimits.MAX_ID_LENGTH
              + " characters: '"
              + Message.brief(id)
              + "'");
    }
    String hostPort = at.text("hostPort").orElse(null);
    return new Endpoint(
        id,
        hostPort == null || hostPort.length() > MOST_ADDRESS ? null : hostPort,
        zone,
        at.text("machineType").map(names.machineTypes()::get).orElse(names.machineTypes().size()),
        (int) at.doubleOrZero("cell"),
        STATES.getOrDefault(at.require("lifecycle"), Lifecycle.DRAINING),
        at.has("weight") ? at.requireDouble("weight") : 1,
        Math.round(at.doubleOrZero("startedAtMs") * 1000));
  }
}
