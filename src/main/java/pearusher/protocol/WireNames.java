package pearusher.protocol;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pearusher.sitesettings.PathValues;
import pearusher.sitesettings.SettingsException;

/**
 * The names of zones, request classes, machine types and load metrics in messages, with their
 * indexes in the settings. Immutable.
 *
 * @param zones the index of each zone by its name
 * @param classes the names of the request classes in the order of their indexes
 * @param classIndex the index of each request class by its name
 * @param machineTypes the index of each machine type by its name
 * @param loadMetrics the canonical names of the load metrics in the order of their indexes
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

  /** Name of a load metric in the protocol by its name in the settings, where they differ. */
  private static final Map<String, String> CANONICAL_METRICS =
      Map.of(
          "outstanding", "inflight",
          "backlog", "queue",
          "utilization", "util",
          "recent_ms", "latency_ms",
          "throughput", "qps",
          "errors_per_s", "eps");

  /** Returns the protocol name of a load metric; some servers report the name from the settings. */
  static String canonicalMetric(String name) {
    return CANONICAL_METRICS.getOrDefault(name, name);
  }

  /**
   * Collects the names from the settings.
   *
   * @param settings the settings of the site
   * @return the names
   * @throws SettingsException if a required list is missing or a list has a duplicate name
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
