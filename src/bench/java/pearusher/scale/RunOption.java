package pearusher.scale;

import java.util.Arrays;
import java.util.Optional;

/** An option of a scale run, set in a run description or on the command line. */
enum RunOption {
  SERVERS("servers", "300", 1, 200_000, "servers in the endpoint list"),
  ZONES("zones", "4", 1, 98, "zones over which servers are spread evenly"),
  PROXY_ZONES(
      "proxy-zones",
      "3",
      1,
      98,
      "zones that have proxies, counted from the first zone; at most all zones"),
  CLASSES("classes", "2", 1, 16, "request classes; one for each service of the tier"),
  PROXIES("proxies", "50", 0, 60_000, "proxies, distributed evenly over the assigners"),
  ASSIGNERS("assigners", "1", 0, 250, "real assigners"),
  SIMULATED_ASSIGNERS(
      "simulated-assigners", "0", 0, 250, "simulated assigners that serve proxies and collectors"),
  WATCHERS("watchers", "0", 0, 5_000, "simulated assigners that only watch discovery"),
  REPORTS(
      "reports", "-1", -1, 200_000, "load reports per second to each assigner; -1: one per server"),
  NOISE(
      "noise", "0.2", 0, 2, "standard deviation of the logarithm of reported mean response times"),
  LOAD("load", "0", 0, 1, "1: reports include the load field"),
  REQUESTS("requests", "20", 0.1, 10_000, "requests per second of each proxy and class"),
  CHANGES(
      "changes", "0.5", 0, 1_000, "changes of the endpoint list per second in the measured window"),
  SECONDS("seconds", "10", 1, 3_600, "length of the measured window, in seconds"),
  SETTLE("settle", "5", 0, 600, "seconds of load reports before the window"),
  KILL_AT(
      "kill-at", "-1", -1, 3_600, "second of the window at which an assigner is killed; -1: never"),
  ZONE_LOST_AT(
      "zone-lost-at",
      "-1",
      -1,
      3_600,
      "second of the window at which a zone with proxies fails; -1: never"),
  ZONE_LOST_FOR("zone-lost-for", "5", 1, 3_600, "seconds until the failed zone recovers"),
  CUT_AT(
      "cut-at",
      "-1",
      -1,
      3_600,
      "second of the window at which a network partition starts; -1: never"),
  CUT_FOR("cut-for", "8", 1, 3_600, "duration of the network partition, in seconds"),
  CUT_PROXIES(
      "cut-proxies",
      "1",
      0,
      1,
      "1: the partition separates assigners from proxies, collectors and discovery; 0: from"
          + " discovery"),
  KNOWN("known", "1", 0, 1, "1: the assigner's configuration lists all servers as known; 0: none"),
  HEAP("heap", "1", 0, 1, "1: measure the live heap after the window"),
  SOCKETS("sockets", "1024", 128, 65_536, "descriptors that the configuration allows an assigner"),
  CHANNEL_RATE(
      "channel-rate",
      "50000",
      1,
      1e9,
      "rate limit of the channel to the proxies, in lines per second"),
  MOST_WAITING(
      "most-waiting", "100000", 1, 1e9, "largest backlog of the channel to the proxies, in lines"),
  SETTINGS_REPORTS(
      "settings-reports",
      "-1",
      -1,
      1e9,
      "reportsPerS of the settings; -1: the rate of reports sent"),
  PERIOD_MS("period-ms", "1000", 10, 60_000, "period of the reports, in milliseconds"),
  APPLY_MS(
      "apply-ms", "300", 0, 10_000, "time that a proxy takes to apply an update, in milliseconds"),
  READY_WAIT("ready-wait", "60", 1, 600, "timeout for the first pong, in seconds"),
  BIND_WAIT("bind-wait", "30", 1, 600, "timeout until all proxies are bound, in seconds"),
  SIMULATED_UPDATES(
      "simulated-updates",
      "0",
      0,
      100,
      "updates that a simulated assigner sends to each proxy per period"),
  SIMULATED_LINES(
      "simulated-lines", "1", 0, 1e6, "weight entries in each update of a simulated assigner"),
  SEED("seed", "1", 0, Long.MAX_VALUE, "seed of all random values");

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
