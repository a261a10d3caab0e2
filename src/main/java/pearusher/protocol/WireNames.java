package pearusher.protocol;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pearusher.sitesettings.PathValues;
import pearusher.sitesettings.SettingsException;

/** The names that the sockets use for zones, classes, machine types and values of load reports. */
public record WireNames(
    Map<String, Integer> zones,
    List<String> classes,
    Map<String, Integer> classIndex,
    Map<String, Integer> machineTypes,
    List<String> loadMetrics) {

  /** PROTOCOL's word for each value that the settings may list; others keep their name. */
  private static final Map<String, String> WORDS =
      Map.of(
          "outstanding",
          "inflight",
          "backlog",
          "queue",
          "utilization",
          "util",
          "recent_ms",
          "latency_ms",
          "throughput",
          "qps",
          "errors_per_s",
          "eps");

  /** One name for each value of a load report: servers are met that use the settings' words. */
  static String canonicalMetric(String name) {
    return WORDS.getOrDefault(name, name);
  }

  public static WireNames of(PathValues settings) throws SettingsException {
    List<String> classes = settings.requireEach("grades", "name");
    List<String> load =
        settings.listOrEmpty("report.fields").stream().map(WireNames::canonicalMetric).toList();
    return new WireNames(
        places(settings, "azs", settings.requireList("azs")),
        classes,
        places(settings, "grades", classes),
        places(settings, "kinds", settings.listOrEmpty("kinds")),
        load);
  }

  private static Map<String, Integer> places(PathValues at, String key, List<String> names)
      throws SettingsException {
    Map<String, Integer> out = new HashMap<>();
    for (String name : names) {
      if (out.put(name, out.size()) != null) {
        throw at.fault(key, "names '" + name + "' twice");
      }
    }
    return out;
  }
}
