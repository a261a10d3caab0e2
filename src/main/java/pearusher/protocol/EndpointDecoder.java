package pearusher.protocol;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import pearusher.policy.Lifecycle;
import pearusher.sitesettings.PathValues;
import pearusher.sitesettings.SettingsException;

/** Decoder of one entry of an endpoint list. Immutable; any thread may use it. */
final class EndpointDecoder {
  private static final String ID = "instanceId";
  private static final String HOST_PORT = "hostPort";
  static final String ZONE = "zone";
  private static final String MACHINE_TYPE = "machineType";
  private static final String CELL = "cell";
  private static final String LIFECYCLE = "lifecycle";
  private static final String WEIGHT = "weight";
  private static final String STARTED_AT_MS = "startedAtMs";

  /** All fields of an entry that are decoded; others are ignored. */
  static final Set<String> FIELD_NAMES =
      Set.of(ID, HOST_PORT, ZONE, MACHINE_TYPE, CELL, LIFECYCLE, WEIGHT, STARTED_AT_MS);

  private static final Map<String, Lifecycle> LIFECYCLES =
      Map.of(
          "in_service", Lifecycle.READY,
          "terminating", Lifecycle.DRAINING,
          "terminated", Lifecycle.REMOVED);

  /** State for an unknown one: the server gets no new requests. */
  private static final Lifecycle DEFAULT_LIFECYCLE = Lifecycle.DRAINING;

  private static final double DEFAULT_WEIGHT = 1;

  /** A longer address cannot be a usable host and port and is ignored. */
  private static final int MAX_ADDRESS_LENGTH = 64;

  private static final int MICROS_PER_MILLI = 1000;

  private final WireNames names;

  EndpointDecoder(WireNames names) {
    this.names = names;
  }

  /**
   * Decodes an entry.
   *
   * @param entry the fields of the entry by name
   * @return the server; empty if its zone is not in the settings
   * @throws SettingsException if a required field is missing or a value is invalid
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
