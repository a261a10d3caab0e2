package pearusher.protocol;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pearusher.sitesettings.PathValues;
import pearusher.sitesettings.SettingsException;

/**
 * The names that messages use for what the settings list. Immutable; it grows with the settings.
 *
 * @param zones the index of each zone by its name
 * @param classes the names of the request classes by index
 * @param classIndex the index of each request class by its name
 * @param machineTypes the index of each machine type by its name
 * @param loadMetrics the canonical names of the load metrics by index
 */
public record WireNames(
    Map<String, Integer> zones,
    List<String> classes,
    Map<String, Integer> classIndex,
    Map<String, Integer> machineTypes,
    List<String> loadMetrics) {

  private static final String ZONES_KEY = "azs";
  private static final String CLASSES_KEY = "grades";
  private static final String CLASS_NAME_KEY = "name";
  private static final String MACHINE_TYPES_KEY = "kinds";
  private static final String LOAD_METRICS_KEY = "report.fields";

  /** The protocol's name of each load metric by its name in the settings; others are the same. */
  private static final Map<String, String> CANONICAL_METRICS =
      Map.of(
          "outstanding", "inflight",
          "backlog", "queue",
          "utilization", "util",
          "recent_ms", "latency_ms",
          "throughput", "qps",
          "errors_per_s", "eps");

  /** Returns the protocol's name of a load metric: some servers use the name of the settings. */
  static String canonicalMetric(String name) {
    return CANONICAL_METRICS.getOrDefault(name, name);
  }

  /**
   * Collects the names from the settings.
   *
   * @param settings the settings of the site
   * @return the names
   * @throws SettingsException if a list is missing or names something twice
   */
  public static WireNames of(PathValues settings) throws SettingsException {
    List<String> classes = settings.requireEach(CLASSES_KEY, CLASS_NAME_KEY);
    List<String> metrics =
        settings.listOrEmpty(LOAD_METRICS_KEY).stream().map(WireNames::canonicalMetric).toList();
    return new WireNames(
        indexes(settings, ZONES_KEY, settings.requireList(ZONES_KEY)),
        classes,
        indexes(settings, CLASSES_KEY, classes),
        indexes(settings, MACHINE_TYPES_KEY, settings.listOrEmpty(MACHINE_TYPES_KEY)),
        metrics);
  }

  private static Map<String, Integer> indexes(PathValues settings, String key, List<String> names)
      throws SettingsException {
    Map<String, Integer> indexes = new HashMap<>();
    for (String name : names) {
      if (indexes.put(name, indexes.size()) != null) {
        throw settings.fault(key, "names '" + name + "' twice");
      }
    }
    return indexes;
  }
}
