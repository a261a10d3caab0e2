package pearusher.scale;

import java.util.Arrays;
import java.util.Optional;

/** The options of a scale run, the same in a description file and on the command line. */
enum RunOption {
  SERVERS("servers", "300", 1, 200_000, "servers that discovery lists"),
  ZONES("zones", "4", 1, 98, "zones over which servers are spread evenly"),
  PROXY_ZONES("proxy-zones", "3", 1, 98, "zones that have proxies, from the first on; at most all"),
  CLASSES("classes", "2", 1, 16, "request classes; one for each service of the tier"),
  PROXIES("proxies", "50", 0, 60_000, "proxies, shared evenly among the assigners"),
  ASSIGNERS("assigners", "1", 0, 250, "real assigners"),
  SIMULATED_ASSIGNERS(
      "simulated-assigners", "0", 0, 250, "simulated assigners that take proxies and collectors"),
  WATCHERS("watchers", "0", 0, 5_000, "simulated assigners that only watch discovery"),
  REPORTS(
      "reports",
      "-1",
      -1,
      200_000,
      "lines heard a second at each assigner; -1: one for each server"),
  NOISE("noise", "0.2", 0, 2, "noise of reported means, as a share"),
  LOAD("load", "0", 0, 1, "1: reports carry a load report"),
  REQUESTS("requests", "20", 0.1, 10_000, "requests a second of each proxy and class"),
  CHANGES("changes", "0.5", 0, 1_000, "changes of the list a second, in the window"),
  SECONDS("seconds", "10", 1, 3_600, "length of the window that is measured"),
  SETTLE("settle", "5", 0, 600, "seconds of reports before the window"),
  KILL_AT(
      "kill-at", "-1", -1, 3_600, "second of the window at which an assigner is killed; -1: never"),
  ZONE_LOST_AT(
      "zone-lost-at", "-1", -1, 3_600, "second at which a zone with proxies is lost; -1: never"),
  ZONE_LOST_FOR("zone-lost-for", "5", 1, 3_600, "seconds until it is back"),
  CUT_AT("cut-at", "-1", -1, 3_600, "second at which the region is cut off; -1: never"),
  CUT_FOR("cut-for", "8", 1, 3_600, "seconds until it is back"),
  CUT_PROXIES(
      "cut-proxies", "1", 0, 1, "1: proxies and collectors are beyond it too; 0: discovery is"),
  KNOWN("known", "1", 0, 1, "1: the assigner's file lists all servers as known; 0: none"),
  HEAP("heap", "1", 0, 1, "1: live heap is asked for after the window"),
  SOCKETS("sockets", "1024", 128, 65_536, "descriptors that an assigner is allowed by its file"),
  CHANNEL_RATE("channel-rate", "50000", 1, 1e9, "lines a second of the channel to the proxies"),
  MOST_WAITING("most-waiting", "100000", 1, 1e9, "lines that may wait in that channel"),
  SETTINGS_REPORTS(
      "settings-reports", "-1", -1, 1e9, "reportsPerS of the settings; -1: what is sent"),
  PERIOD_MS("period-ms", "1000", 10, 60_000, "the reports' period"),
  APPLY_MS("apply-ms", "300", 0, 10_000, "time in which a proxy applies a mark"),
  READY_WAIT("ready-wait", "60", 1, 600, "most seconds to the first pong"),
  BIND_WAIT("bind-wait", "30", 1, 600, "most seconds until all proxies are bound"),
  SIMULATED_UPDATES(
      "simulated-updates",
      "0",
      0,
      100,
      "updates a simulated assigner writes to a proxy each period"),
  SIMULATED_LINES("simulated-lines", "1", 0, 1e6, "changed lines in each of those"),
  SEED("seed", "1", 0, Long.MAX_VALUE, "seed of all that is drawn");

  private final String key;
  private final String defaultValue;
  private final double min;
  private final double max;
  private final String description;

  RunOption(String key, String defaultValue, double min, double max, String description) {
    this.key = key;
    this.defaultValue = defaultValue;
    this.min = min;
    this.max = max;
    this.description = description;
  }

  String key() {
    return key;
  }

  String defaultValue() {
    return defaultValue;
  }

  double min() {
    return min;
  }

  double max() {
    return max;
  }

  String description() {
    return description;
  }

  static Optional<RunOption> find(String key) {
    return Arrays.stream(values()).filter(option -> option.key.equals(key)).findFirst();
  }
}
