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
import pearusher.policy.SiteTraits;
import pearusher.protocol.Endpoint;
import pearusher.sitesettings.SettingsException;

/**
 * The values that a configuration is read to, as they were recorded, a {@code key = value} a line.
 * The keys are the test's own.
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

  private static String text(Lifecycle state) {
    return switch (state) {
      case REMOVED -> "gone";
      case READY -> "ready";
      case DRAINING -> "draining";
    };
  }

  private static String text(Idempotency effect) {
    return switch (effect) {
      case IDEMPOTENT -> "may be repeated";
      case WITH_KEY -> "repeats are discarded";
      case NOT_IDEMPOTENT -> "must not be repeated";
    };
  }

  private static String text(AdmissionMode levels) {
    return switch (levels) {
      case SHARE -> "share";
      case RATE -> "requests a second";
      case NONE -> "none";
    };
  }

  private static String text(LoadReportSource from) {
    return switch (from) {
      case RESPONSES -> "answers";
      case HEALTH_CHECKS -> "probes";
      case NONE -> "nowhere";
    };
  }

  private static String text(PickMethod pick) {
    return switch (pick) {
      case RANDOM -> "at random";
      case ROUND_ROBIN -> "in turn";
      case POWER_OF_TWO_CHOICES -> "less busy of two";
    };
  }

  private static String text(LoadMetric field) {
    return switch (field) {
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
    add("known generation", config.knownServers().generation());
    add("known is whole", config.knownServers().complete());
    for (Endpoint one : config.knownServers().endpoints()) {
      String key = "known " + one.server() + " ";
      add(key + "address", one.hostPort());
      add(key + "zone", one.zone());
      add(key + "machine type", one.machineType());
      add(key + "cell", one.cell());
      add(key + "state", text(one.lifecycle()));
      add(key + "weight", one.weight());
      add(key + "started us", one.startedUs());
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
    addPrices(settings.costs());
    addGoal(settings.scoreWeights());
    addSite(settings.siteTraits());
  }

  private void addClass(String key, RequestClass one) {
    add(key + "aim us", one.latencyObjectiveUs());
    add(key + "deadline us", one.deadlineUs());
    add(key + "worth", one.priorityWeight());
    add(key + "late worth", one.latePriorityWeight());
    add(key + "effect", text(one.idempotency()));
    add(key + "all discard repeats", one.deduplicatedEverywhere());
    add(key + "window us", one.deduplicationWindowUs());
    add(key + "writes", one.writes());
    add(key + "own zone", one.ownZoneOnly());
    add(key + "aim stretch", one.objectiveStretch());
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

  private void addPrices(Costs prices) {
    add("price cross zone", prices.crossZone());
    add("price probe", prices.healthCheck());
    add("price orders", prices.commandLine());
    add("price late failure", prices.lateFailure());
    add("price waste", prices.waste());
    add("price connection", prices.connection());
    add("price handshake", prices.handshake());
    add("price peer", prices.peerMessage());
    add("price list", prices.discoveryCall());
    add("price handover", prices.handover());
    add("price moves", prices.migration());
  }

  private void addGoal(ScoreWeights goal) {
    add("goal whole", goal.overall());
    add("goal worst window", goal.worstWindow());
    add("goal worst class", goal.worstClass());
    add("goal worst tenant", goal.worstTenant());
    add("goal nines", goal.nines());
    add("goal nines full", goal.ninesFull());
    add("goal by work", goal.byWork());
  }

  private void addSite(SiteTraits site) {
    add("site pick", text(site.pickMethod()));
    add("site standing", site.bootstrapServers());
    add("site least connections", site.minConnections());
    add("site streams a connection", site.streamsPerConnection());
    add("site idle close us", site.idleCloseUs());
    add("site connect timeout us", site.connectTimeoutUs());
    add("site cpu us a second", site.cpuUsPerSecond());
    add("site own zone joins", site.proxiesJoinInOwnZone());
    add("site warm keys", site.keyAffinity());
    add("site exclusive", site.exclusiveOwners());
    add("site park us", site.parkUs());
    add("site tenure us", site.tenureUs());
    add("site settle us", site.settleUs());
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
  void theDocumentedExampleIsReadToTheRecordedValues() throws Exception {
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

  /** Each optional key has a value that no other key has, so that no two can be mixed up unseen. */
  @Test
  void aConfigurationWithEveryKeyIsReadToTheRecordedValues() throws Exception {
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
  void aConfigurationWithNeededKeysAloneIsReadToTheRecordedValues() throws Exception {
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

  private String readsTo(String old, String now) throws Exception {
    try {
      PolicySettings settings = new ExampleConfig().with(old, now).read(dir).settings();
      return String.join(
          ", ",
          text(settings.admissionMode()),
          text(settings.siteTraits().pickMethod()),
          text(settings.loadReportSource()),
          text(settings.requestClasses().get(0).idempotency()),
          "list on request " + settings.endpointListOnRequest(),
          "weights listed " + settings.weightsListed(),
          "by work " + settings.scoreWeights().byWork(),
          "all discard repeats " + settings.requestClasses().get(0).deduplicatedEverywhere(),
          "only draining binds " + settings.limits().softRemoval());
    } catch (SettingsException e) {
      return "refused";
    }
  }

  @Test
  void eachWordOfASettingIsReadToTheRecordedValueOrRefused() throws Exception {
    Map<String, List<String>> words =
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
    for (Map.Entry<String, List<String>> key : words.entrySet()) {
      String old = key.getKey();
      int from = old.indexOf(": ") + 2;
      int end = old.indexOf(',') < 0 ? old.length() : old.indexOf(',');
      for (String word : key.getValue()) {
        String now = old.substring(0, from) + "\"" + word + "\"" + old.substring(end);
        add(now, readsTo(old, now));
      }
    }
    for (String rule : List.of("\"softRemoval\": true", "\"softRemoval\": false")) {
      add(rule, readsTo("\"rampTimeUs\": 17000000", "\"rampTimeUs\": 17000000, " + rule));
    }
    Recorded.check("values-by-word.txt", out.toString());
  }

  /** The files of the sites under deploy are the bench's own: the program refuses them. */
  @Test
  void theFilesOfTheSitesAreNoConfigurations() throws Exception {
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
