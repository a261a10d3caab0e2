package pearusher.server;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pearusher.Recorded;
import pearusher.config.AssignerConfig;
import pearusher.config.AssignerConfigReader;
import pearusher.policy.AdmissionMode;
import pearusher.policy.ChannelSettings;
import pearusher.policy.Costs;
import pearusher.policy.Idempotency;
import pearusher.policy.Lifecycle;
import pearusher.policy.LoadMetric;
import pearusher.policy.LoadReportSource;
import pearusher.policy.PickMethod;
import pearusher.policy.PolicySettings;
import pearusher.policy.RequestClass;
import pearusher.policy.ScoreWeights;
import pearusher.policy.ServiceLimits;
import pearusher.policy.SiteProperties;
import pearusher.protocol.Endpoint;
import pearusher.sitesettings.SettingsException;

/**
 * Compares the values parsed from configurations with recorded ones, one {@code key = value} per
 * line. The recorded keys are specific to this test. Guards against settings that are mixed up.
 */
class ConfigurationValuesTest {
  @TempDir Path dir;
  private final StringBuilder out = new StringBuilder();

  private void add(String key, Object value) {
    out.append(key).append(" = ").append(value).append('\n');
  }

  private static String text(InetSocketAddress address) {
    return address == null
        ? "none"
        : address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private static String text(Lifecycle lifecycle) {
    return switch (lifecycle) {
      case REMOVED -> "gone";
      case READY -> "ready";
      case DRAINING -> "draining";
    };
  }

  private static String text(Idempotency idempotency) {
    return switch (idempotency) {
      case IDEMPOTENT -> "may be repeated";
      case WITH_KEY -> "repeats are discarded";
      case NOT_IDEMPOTENT -> "must not be repeated";
    };
  }

  private static String text(AdmissionMode mode) {
    return switch (mode) {
      case SHARE -> "share";
      case RATE -> "requests a second";
      case NONE -> "none";
    };
  }

  private static String text(LoadReportSource source) {
    return switch (source) {
      case RESPONSES -> "answers";
      case HEALTH_CHECKS -> "probes";
      case NONE -> "nowhere";
    };
  }

  private static String text(PickMethod method) {
    return switch (method) {
      case RANDOM -> "at random";
      case ROUND_ROBIN -> "in turn";
      case POWER_OF_TWO_CHOICES -> "less busy of two";
    };
  }

  private static String text(LoadMetric metric) {
    return switch (metric) {
      case IN_FLIGHT -> "in flight";
      case QUEUE_LENGTH -> "queue";
      case UTILIZATION -> "utilization";
      case LATENCY_MS -> "latency";
      case REQUESTS_PER_SECOND -> "requests a second";
      case ERRORS_PER_SECOND -> "errors a second";
      case OTHER -> "other";
    };
  }

  private void addProcess(AssignerConfig config) {
    add("name", config.name());
    add("listen", text(config.listen()));
    add("discovery", text(config.discovery()));
    add("sockets", config.maxDescriptors());
    add("peer listen", text(config.peers().listen().orElse(null)));
    add("peers", config.peers().assigners().stream().map(ConfigurationValuesTest::text).toList());
    add("all peers", text(config.peers().broadcast().orElse(null)));
    add("connect timeout ms", config.timeouts().connectMs());
    add("answer timeout ms", config.timeouts().responseMs());
    add("silence timeout ms", config.timeouts().idleMs());
    add("unidentified timeout ms", config.timeouts().identificationMs());
    add("names of zones", new TreeMap<>(config.names().zones()));
    add("names of classes", config.names().classes());
    add("positions of classes", new TreeMap<>(config.names().classIndex()));
    add("names of machine types", new TreeMap<>(config.names().machineTypes()));
    add("names of load values", config.names().loadMetrics());
    add("known generation", config.initialServers().generation());
    add("known is whole", config.initialServers().complete());
    for (Endpoint endpoint : config.initialServers().endpoints()) {
      String key = "known " + endpoint.server() + " ";
      add(key + "address", endpoint.hostPort());
      add(key + "zone", endpoint.zone());
      add(key + "machine type", endpoint.machineType());
      add(key + "cell", endpoint.cell());
      add(key + "state", text(endpoint.lifecycle()));
      add(key + "weight", endpoint.weight());
      add(key + "started us", endpoint.startedUs());
    }
  }

  private void addSettings(PolicySettings settings) {
    add("seed", Long.toHexString(settings.seed()));
    add("zones", settings.zones());
    add("own zone", settings.zone());
    add("proxies", settings.proxies());
    add("own number", settings.instance());
    add("instances", settings.instances());
    add("levels", text(settings.admissionMode()));
    add("usual retry", settings.defaultRetryMode());
    add("try aims", settings.attemptTimeoutObjectives());
    add("period us", settings.controlPeriodUs());
    add("reports a second", settings.maxReportsPerSecond());
    add("ejections", settings.consecutiveFailuresToEject());
    add("slices", settings.slices());
    add("list on request", settings.endpointListOnRequest());
    add("probes", settings.healthChecksEnabled());
    add("peers allowed", settings.peersEnabled());
    add("reports from", text(settings.loadReportSource()));
    add(
        "report fields",
        settings.loadMetrics().stream().map(ConfigurationValuesTest::text).toList());
    add("weights listed", settings.weightsListed());
    add("tick us", settings.tickUs());
    for (int k = 0; k < settings.requestClasses().size(); k++) {
      addClass("class " + k + " ", settings.requestClasses().get(k));
    }
    addChannel(settings.channel());
    addLimits(settings.limits());
    addCosts(settings.costs());
    addScoreWeights(settings.scoreWeights());
    addSiteProperties(settings.siteProperties());
  }

  private void addClass(String key, RequestClass requestClass) {
    add(key + "aim us", requestClass.latencyObjectiveUs());
    add(key + "deadline us", requestClass.deadlineUs());
    add(key + "worth", requestClass.priorityWeight());
    add(key + "late worth", requestClass.latePriorityWeight());
    add(key + "effect", text(requestClass.idempotency()));
    add(key + "all discard repeats", requestClass.deduplicatedAcrossServers());
    add(key + "window us", requestClass.deduplicationWindowUs());
    add(key + "writes", requestClass.writes());
    add(key + "own zone", requestClass.ownZoneOnly());
    add(key + "aim stretch", requestClass.objectiveStretch());
  }

  private void addChannel(ChannelSettings channel) {
    add("channel lines a second", channel.linesPerSecond());
    add("channel fixed lines", channel.messageOverheadLines());
    add("channel backlog", channel.maxBacklogLines());
    add("channel most messages", channel.maxMessagesPerProxy());
    add("channel messages over us", channel.messageWindowUs());
    add("channel delay us", channel.transitDelayUs());
    add("channel most delay us", channel.maxPushDelayUs());
  }

  private void addLimits(ServiceLimits limits) {
    add("limit without server us", limits.maxUnboundUs());
    add("limit drain us", limits.drainGraceUs());
    add("limit cold from", limits.slowStartCapacity());
    add("limit ramp us", limits.slowStartUs());
    add("limit fall multiple", limits.recoveryOverloadFactor());
    add("limit fall us", limits.recoveryUs());
    add("limit ask within us", limits.maxPollIntervalUs());
    add("limit only draining binds", limits.softRemoval());
  }

  private void addCosts(Costs costs) {
    add("price cross zone", costs.crossZone());
    add("price probe", costs.healthCheck());
    add("price orders", costs.commandLine());
    add("price late failure", costs.lateFailure());
    add("price waste", costs.wastedWork());
    add("price connection", costs.connection());
    add("price handshake", costs.handshake());
    add("price peer", costs.peerMessage());
    add("price list", costs.discoveryCall());
    add("price handover", costs.handover());
    add("price moves", costs.migration());
  }

  private void addScoreWeights(ScoreWeights weights) {
    add("goal whole", weights.overall());
    add("goal worst window", weights.worstWindow());
    add("goal worst class", weights.worstClass());
    add("goal worst tenant", weights.worstTenant());
    add("goal nines", weights.nines());
    add("goal nines full", weights.ninesFull());
    add("goal by work", weights.byWork());
  }

  private void addSiteProperties(SiteProperties properties) {
    add("site pick", text(properties.pickMethod()));
    add("site standing", properties.bootstrapServers());
    add("site least connections", properties.minConnections());
    add("site streams a connection", properties.streamsPerConnection());
    add("site idle close us", properties.idleCloseUs());
    add("site connect timeout us", properties.connectTimeoutUs());
    add("site cpu us a second", properties.cpuUsPerSecond());
    add("site own zone joins", properties.proxiesJoinInOwnZone());
    add("site warm keys", properties.keyAffinity());
    add("site exclusive", properties.exclusiveOwners());
    add("site park us", properties.parkUs());
    add("site tenure us", properties.tenureUs());
    add("site settle us", properties.settleUs());
  }

  private AssignerConfig read(String json, String name, String listen, String discovery)
      throws Exception {
    Path file = Files.writeString(dir.resolve("config.json"), json);
    return AssignerConfigReader.read(
        Map.of(
            "EDGE_NAME",
            name,
            "EDGE_LISTEN",
            listen,
            "EDGE_DISCOVERY",
            discovery,
            "EDGE_CONFIG",
            file.toString()));
  }

  @Test
  void documentedExampleIsParsedToTheRecordedValues() throws Exception {
    AssignerConfig config =
        read(
            Files.readString(Path.of("docs", "example.json")),
            "n0",
            "127.0.0.1:8080",
            "127.0.0.1:8500");
    addProcess(config);
    addSettings(config.settings());
    Recorded.check("values-of-example.txt", out.toString());
  }

  /** Each optional key has a unique value, so that mixed-up keys change the parsed values. */
  @Test
  void configurationWithEveryKeyIsParsedToTheRecordedValues() throws Exception {
    AssignerConfig config =
        read(
            Files.readString(Recorded.file("every-key.json")),
            "n1",
            "127.0.0.1:8081",
            "127.0.0.1:8501");
    addProcess(config);
    addSettings(config.settings());
    Recorded.check("values-of-every-key.txt", out.toString());
  }

  @Test
  void configurationWithRequiredKeysOnlyIsParsedToTheRecordedValues() throws Exception {
    AssignerConfig config =
        read(
            Files.readString(Recorded.file("needed-keys.json")),
            "n2",
            "127.0.0.1:8082",
            "[::1]:8502");
    addProcess(config);
    addSettings(config.settings());
    Recorded.check("values-of-needed-keys.txt", out.toString());
  }

  private String parsedValues(String original, String replacement) throws Exception {
    try {
      PolicySettings settings =
          new ExampleConfig().with(original, replacement).read(dir).settings();
      return String.join(
          ", ",
          text(settings.admissionMode()),
          text(settings.siteProperties().pickMethod()),
          text(settings.loadReportSource()),
          text(settings.requestClasses().get(0).idempotency()),
          "list on request " + settings.endpointListOnRequest(),
          "weights listed " + settings.weightsListed(),
          "by work " + settings.scoreWeights().byWork(),
          "all discard repeats " + settings.requestClasses().get(0).deduplicatedAcrossServers(),
          "only draining binds " + settings.limits().softRemoval());
    } catch (SettingsException e) {
      return "refused";
    }
  }

  @Test
  void eachValueOfASettingIsParsedOrRejectedAsRecorded() throws Exception {
    Map<String, List<String>> valuesByEntry =
        new TreeMap<>(
            Map.of(
                "\"throttleBy\": \"per_second\"",
                List.of("per_second", "fraction", "off", "share", ""),
                "\"pick\": \"random\"",
                List.of("random", "rotate", "p2c", "weighted"),
                "\"source\": \"on_probe\"",
                List.of("on_probe", "inline", "off", "probe"),
                "\"repeat\": \"retryable\", \"group\": \"all\"",
                List.of("retryable", "dedup", "fragile", "safe"),
                "\"discovery\": \"on_request\"",
                List.of("on_request", "pushed", "ask"),
                "\"weightKind\": \"off\"",
                List.of("off", "weighted", "none"),
                "\"countedBy\": \"request\"",
                List.of("request", "work"),
                "\"rampTimeUs\": 17000000",
                List.of("17000000", "x", "1e7", "-1")));
    for (Map.Entry<String, List<String>> entry : valuesByEntry.entrySet()) {
      String original = entry.getKey();
      int from = original.indexOf(": ") + 2;
      int end = original.indexOf(',') < 0 ? original.length() : original.indexOf(',');
      for (String value : entry.getValue()) {
        String replacement =
            original.substring(0, from) + "\"" + value + "\"" + original.substring(end);
        add(replacement, parsedValues(original, replacement));
      }
    }
    for (String entry : List.of("\"softRemoval\": true", "\"softRemoval\": false")) {
      add(entry, parsedValues("\"rampTimeUs\": 17000000", "\"rampTimeUs\": 17000000, " + entry));
    }
    Recorded.check("values-by-word.txt", out.toString());
  }

  /** The site files under {@code deploy/sites} are for benchmarks; the assigner rejects them. */
  @Test
  void benchmarkSiteFilesAreRejected() throws Exception {
    List<Path> files = new ArrayList<>();
    try (var found = Files.walk(Path.of("deploy", "sites"))) {
      found.filter(file -> file.toString().endsWith(".json")).sorted().forEach(files::add);
    }
    for (Path file : files) {
      String outcome;
      try {
        read(Files.readString(file), "n0", "127.0.0.1:8080", "127.0.0.1:8500");
        outcome = "read";
      } catch (SettingsException e) {
        outcome = "refused";
      }
      add(file.toString(), outcome);
    }
    Recorded.check("site-files.txt", out.toString());
  }
}
