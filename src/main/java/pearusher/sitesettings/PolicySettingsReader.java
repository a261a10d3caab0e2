package pearusher.sitesettings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import pearusher.policy.AdmissionMode;
import pearusher.policy.ChannelSettings;
import pearusher.policy.Costs;
import pearusher.policy.Idempotency;
import pearusher.policy.LoadMetric;
import pearusher.policy.LoadReportSource;
import pearusher.policy.PickMethod;
import pearusher.policy.PolicySettings;
import pearusher.policy.RequestClass;
import pearusher.policy.ScoreWeights;
import pearusher.policy.ServiceLimits;
import pearusher.policy.SiteProperties;

/**
 * Reader of the policy settings, which the simulator and the server share. Independent of the rest
 * of the configuration; unknown keys are ignored.
 */
public final class PolicySettingsReader {
  private static final Map<String, LoadMetric> LOAD_METRICS =
      Map.of(
          "outstanding", LoadMetric.IN_FLIGHT,
          "backlog", LoadMetric.QUEUE_LENGTH,
          "utilization", LoadMetric.UTILIZATION,
          "recent_ms", LoadMetric.LATENCY_MS,
          "throughput", LoadMetric.REQUESTS_PER_SECOND,
          "errors_per_s", LoadMetric.ERRORS_PER_SECOND);

  private static final Map<String, AdmissionMode> ADMISSION_MODES =
      Map.of(
          "fraction", AdmissionMode.SHARE,
          "per_second", AdmissionMode.RATE,
          "off", AdmissionMode.NONE);

  private static final Map<String, LoadReportSource> LOAD_REPORT_SOURCES =
      Map.of(
          "inline", LoadReportSource.RESPONSES,
          "on_probe", LoadReportSource.HEALTH_CHECKS,
          "off", LoadReportSource.NONE);

  private static final Map<String, Idempotency> IDEMPOTENCIES =
      Map.of(
          "retryable", Idempotency.IDEMPOTENT,
          "dedup", Idempotency.WITH_KEY,
          "fragile", Idempotency.NOT_IDEMPOTENT);

  /** Any other value, or none, is read as {@link PickMethod#RANDOM}. */
  private static final Map<String, PickMethod> PICK_METHODS =
      Map.of("rotate", PickMethod.ROUND_ROBIN, "p2c", PickMethod.POWER_OF_TWO_CHOICES);

  private static final Map<String, Boolean> LIST_ON_REQUEST_MODES =
      Map.of("on_request", true, "pushed", false);

  private final PathValues values;

  private PolicySettingsReader(PathValues values) {
    this.values = values;
  }

  /**
   * Reads the settings of a policy.
   *
   * @param seed the seed of the policy's random number generator
   * @throws SettingsException if a key is missing or unreadable; names the first such key
   */
  public static PolicySettings read(long seed, PathValues values) throws SettingsException {
    return new PolicySettingsReader(values).read(seed);
  }

  private PolicySettings read(long seed) throws SettingsException {
    ChannelSettings channel = channel();
    ServiceLimits limits = limits();
    Costs costs = costs();
    ScoreWeights scoreWeights = scoreWeights();
    SiteProperties siteProperties = siteProperties();
    return new PolicySettings(
        seed,
        values.requireList("azs").size(),
        requestClasses(),
        (int) values.requireLong("familyInfo.proxyCount"),
        (int) values.requireLong("myNumber"),
        (int) values.requireLong("replicasOfMe"),
        (int) values.requireLong("zone"),
        channel,
        limits,
        costs,
        values.requireOneOf("familyInfo.throttleBy", ADMISSION_MODES),
        (int) values.requireLong("familyInfo.baseMode"),
        values.requireDouble("familyInfo.perTry"),
        values.requireLong("familyInfo.reportEveryUs"),
        values.requireDouble("familyInfo.reportsPerS"),
        (int) values.requireLong("familyInfo.ejects"),
        (int) values.requireLong("familyInfo.shards"),
        values.requireOneOf("discovery", LIST_ON_REQUEST_MODES),
        values.requireBoolean("ceilings.probes"),
        values.requireBoolean("ceilings.peers"),
        values.requireOneOf("report.source", LOAD_REPORT_SOURCES),
        loadMetrics(),
        !"off".equals(values.require("weightKind")),
        values.requireLong("tickUs"),
        scoreWeights,
        siteProperties);
  }

  private ChannelSettings channel() throws SettingsException {
    return new ChannelSettings(
        values.requireDouble("familyInfo.channelRate"),
        values.requireDouble("familyInfo.fixedCost"),
        values.requireDouble("familyInfo.mostWaiting"),
        (int) values.requireLong("familyInfo.messagesMost"),
        values.requireLong("familyInfo.messagesOverUs"),
        values.requireLong("familyInfo.transitUs"),
        values.requireLong("familyInfo.pushDelayMaxUs"));
  }

  private ServiceLimits limits() throws SettingsException {
    return new ServiceLimits(
        values.requireLong("familyInfo.emptyForUs"),
        values.requireLong("rules.drainGraceUs"),
        values.requireDouble("rules.coldFrom"),
        values.requireLong("rules.rampTimeUs"),
        values.requireDouble("rules.overloadFactor"),
        values.requireLong("rules.fallUs"),
        (long) values.doubleOrZero("rules.askWithinUs"),
        isTrue("rules.softRemoval"));
  }

  private Costs costs() throws SettingsException {
    return new Costs(
        values.requireDouble("fees.crossZone"),
        values.requireDouble("fees.probe"),
        values.requireDouble("familyInfo.costPerLine"),
        values.requireDouble("fees.lateFail"),
        values.requireDouble("fees.waste"),
        values.doubleOrZero("fees.connection"),
        values.doubleOrZero("fees.handshake"),
        values.doubleOrZero("fees.peer"),
        values.doubleOrZero("fees.discovery"),
        values.doubleOrZero("familyInfo.handoverFee"),
        values.doubleOrZero("fees.moves"));
  }

  private ScoreWeights scoreWeights() throws SettingsException {
    return new ScoreWeights(
        values.doubleOrZero("goal.whole"),
        values.doubleOrZero("goal.worstWindow"),
        values.doubleOrZero("goal.worstClass"),
        values.doubleOrZero("goal.worstTenant"),
        values.doubleOrZero("goal.nines"),
        values.doubleOrZero("goal.ninesFull"),
        values.isSetTo("countedBy", "work"));
  }

  private SiteProperties siteProperties() throws SettingsException {
    return new SiteProperties(
        PICK_METHODS.getOrDefault(values.text("familyInfo.pick").orElse(""), PickMethod.RANDOM),
        (int) values.doubleOrZero("familyInfo.bootstrap"),
        values.doubleOrZero("familyInfo.connsLeast"),
        (int) values.doubleOrZero("ceilings.streamsPerConn"),
        (long) values.doubleOrZero("ceilings.idleCloseUs"),
        (long) values.doubleOrZero("ceilings.connectTimeoutUs"),
        values.doubleOrZero("ceilings.cpuUsPerS"),
        isTrue("familyInfo.zonal"),
        isTrue("familyInfo.warmKeys"),
        isTrue("familyInfo.exclusive"),
        (long) values.doubleOrZero("familyInfo.parkUs"),
        (long) values.doubleOrZero("familyInfo.tenureUs"),
        (long) values.doubleOrZero("familyInfo.settleUs"));
  }

  private List<RequestClass> requestClasses() throws SettingsException {
    List<RequestClass> requestClasses = new ArrayList<>();
    long count = values.requireLong("grades.count");
    List<String> writes = values.requireList("familyInfo.writeClasses");
    List<String> ownZoneOnly = values.requireList("familyInfo.classOwnZone");
    for (int i = 0; i < count; i++) {
      requestClasses.add(
          requestClass("grades." + i + ".", isTrueAt(writes, i), isTrueAt(ownZoneOnly, i)));
    }
    return List.copyOf(requestClasses);
  }

  private RequestClass requestClass(String path, boolean writes, boolean ownZoneOnly)
      throws SettingsException {
    return new RequestClass(
        values.requireLong(path + "promiseUs"),
        values.requireLong(path + "deadlineUs"),
        values.requireDouble(path + "worth"),
        values.requireDouble(path + "lateWorth"),
        values.requireOneOf(path + "repeat", IDEMPOTENCIES),
        "all".equals(values.require(path + "group")),
        values.requireLong(path + "windowUs"),
        writes,
        ownZoneOnly,
        values.doubleOrZero(path + "aimStretch"));
  }

  private List<LoadMetric> loadMetrics() {
    return values.listOrEmpty("report.fields").stream()
        .map(name -> LOAD_METRICS.getOrDefault(name, LoadMetric.OTHER))
        .toList();
  }

  private boolean isTrue(String key) {
    return values.isSetTo(key, "true");
  }

  /** Returns whether the flag at an index is set; a flag beyond the end of the list is not. */
  private static boolean isTrueAt(List<String> flags, int index) {
    return index < flags.size() && "true".equals(flags.get(index));
  }
}
