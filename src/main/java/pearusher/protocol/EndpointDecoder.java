package pearusher.protocol;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import pearusher.policy.Lifecycle;
import pearusher.sitesettings.PathValues;
import pearusher.sitesettings.SettingsException;

/** Decodes one entry of discovery's list of servers. Immutable; any thread may use it. */
final class EndpointDecoder {
  private static final String ID = "instanceId";
  private static final String HOST_PORT = "hostPort";
  static final String ZONE = "zone";
  private static final String MACHINE_TYPE = "machineType";
  private static final String CELL = "cell";
  private static final String LIFECYCLE = "lifecycle";
  private static final String WEIGHT = "weight";
  private static final String STARTED_AT_MS = "startedAtMs";

  /** The fields of an entry. */
  static final Set<String> FIELD_NAMES =
      Set.of(ID, HOST_PORT, ZONE, MACHINE_TYPE, CELL, LIFECYCLE, WEIGHT, STARTED_AT_MS);

  private static final Map<String, Lifecycle> LIFECYCLES =
      Map.of(
          "in_service", Lifecycle.READY,
          "terminating", Lifecycle.DRAINING,
          "terminated", Lifecycle.REMOVED);

  /** An unknown state is treated as that of a server which wants no new requests. */
  private static final Lifecycle DEFAULT_LIFECYCLE = Lifecycle.DRAINING;

  private static final double DEFAULT_WEIGHT = 1;

  /** No usable address with a port is longer. */
  private static final int MAX_ADDRESS_LENGTH = 64;

  private static final int MICROS_PER_MILLI = 1000;

  private final WireNames names;

  EndpointDecoder(WireNames names) {
    this.names = names;
  }

  /**
   * Decodes an entry.
   *
   * @param entry its fields by name
   * @return the server; empty if the settings do not have its zone
   * @throws SettingsException if a field is missing or unusable
   */
  Optional<Endpoint> decode(PathValues entry) throws SettingsException {
    Integer zone = names.zones().get(entry.require(ZONE));
    if (zone == null) {
      return Optional.empty();
    }
    return Optional.of(
        new Endpoint(
            id(entry),
            hostPort(entry),
            zone,
            machineType(entry),
            (int) entry.doubleOrZero(CELL),
            LIFECYCLES.getOrDefault(entry.require(LIFECYCLE), DEFAULT_LIFECYCLE),
            entry.has(WEIGHT) ? entry.requireDouble(WEIGHT) : DEFAULT_WEIGHT,
            Math.round(entry.doubleOrZero(STARTED_AT_MS) * MICROS_PER_MILLI)));
  }

  private static String id(PathValues entry) throws SettingsException {
    String id = entry.require(ID);
    if (id.codePointCount(0, id.length()) > EndpointListLimits.MAX_ID_LENGTH) {
      throw entry.fault(
          ID,
          "is longer than "
              + EndpointListLimits.MAX_ID_LENGTH
              + " characters: '"
              + FaultText.abbreviate(id)
              + "'");
    }
    return id;
  }

  private static String hostPort(PathValues entry) {
    String hostPort = entry.text(HOST_PORT).orElse(null);
    boolean usable = hostPort != null && hostPort.length() <= MAX_ADDRESS_LENGTH;
    return usable ? hostPort : null;
  }

  private int machineType(PathValues entry) {
    int unknown = names.machineTypes().size();
    return entry.text(MACHINE_TYPE).map(names.machineTypes()::get).orElse(unknown);
  }
}
