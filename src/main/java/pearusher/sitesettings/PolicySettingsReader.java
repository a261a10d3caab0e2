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
import pearusher.policy.SiteTraits;

/**
 * Turns settings into what the module is told at its start. It is the one reader of them, for the
 * simulator's wire and the sockets alike, and knows no other part of a configuration; unknown keys
 * are passed over.
 */
public final class PolicySettingsReader {
  private static final Map<String, LoadMetric> FIELDS =
      Map.of(
          "outstanding",
          LoadMetric.IN_FLIGHT,
          "backlog",
          LoadMetric.QUEUE_LENGTH,
          "utilization",
          LoadMetric.UTILIZATION,
          "recent_ms",
          LoadMetric.LATENCY_MS,
          "throughput",
          LoadMetric.REQUESTS_PER_SECOND,
          "errors_per_s",
          LoadMetric.ERRORS_PER_SECOND);

  private final PathValues at;

  private PolicySettingsReader(PathValues at) {
    this.at = at;
  }

  public static PolicySettings read(long seed, PathValues at) throws SettingsException {
    return new PolicySettingsReader(at).read(seed);
  }

  private PolicySettings read(long seed) throws SettingsException {
    ChannelSettings channel =
        new ChannelSettings(
            at.requireDouble("familyInfo.channelRate"),
            at.requireDouble("familyInfo.fixedCost"),
            at.requireDouble("familyInfo.mostWaiting"),
            (int) at.requireLong("familyInfo.messagesMost"),
            at.requireLong("familyInfo.messagesOverUs"),
            at.requireLong("familyInfo.transitUs"),
            at.requireLong("familyInfo.pushDelayMaxUs"));
    ServiceLimits limits =
        new ServiceLimits(
            at.requireLong("familyInfo.emptyForUs"),
            at.requireLong("rules.drainGraceUs"),
            at.requireDouble("rules.coldFrom"),
            at.requireLong("rules.rampTimeUs"),
            at.requireDouble("rules.overloadFactor"),
            at.requireLong("rules.fallUs"),
            (long) at.doubleOrZero("rules.askWithinUs"),
            at.isSetTo("rules.softRemoval", "true"));
    Costs prices =
        new Costs(
            at.requireDouble("fees.crossZone"),
            at.requireDouble("fees.probe"),
            at.requireDouble("familyInfo.costPerLine"),
            at.requireDouble("fees.lateFail"),
            at.requireDouble("fees.waste"),
            at.doubleOrZero("fees.connection"),
            at.doubleOrZero("fees.handshake"),
            at.doubleOrZero("fees.peer"),
            at.doubleOrZero("fees.discovery"),
            at.doubleOrZero("familyInfo.handoverFee"),
            at.doubleOrZero("fees.moves"));
    ScoreWeights goal =
        new ScoreWeights(
            at.doubleOrZero("goal.whole"),
            at.doubleOrZero("goal.worstWindow"),
            at.doubleOrZero("goal.worstClass"),
            at.doubleOrZero("goal.worstTenant"),
            at.doubleOrZero("goal.nines"),
            at.doubleOrZero("goal.ninesFull"),
            at.isSetTo("countedBy", "work"));
    PickMethod pick =
        at.isSetTo("familyInfo.pick", "rotate")
            ? PickMethod.ROUND_ROBIN
            : at.isSetTo("familyInfo.pick", "p2c")
                ? PickMethod.LEAST_BUSY_OF_TWO
                : PickMethod.RANDOM;
    SiteTraits site =
        new SiteTraits(
            pick,
            (int) at.doubleOrZero("familyInfo.bootstrap"),
            at.doubleOrZero("familyInfo.connsLeast"),
            (int) at.doubleOrZero("ceilings.streamsPerConn"),
            (long) at.doubleOrZero("ceilings.idleCloseUs"),
            (long) at.doubleOrZero("ceilings.connectTimeoutUs"),
            at.doubleOrZero("ceilings.cpuUsPerS"),
            at.isSetTo("familyInfo.zonal", "true"),
            at.isSetTo("familyInfo.warmKeys", "true"),
            at.isSetTo("familyInfo.exclusive", "true"),
            (long) at.doubleOrZero("familyInfo.parkUs"),
            (long) at.doubleOrZero("familyInfo.tenureUs"),
            (long) at.doubleOrZero("familyInfo.settleUs"));
    return new PolicySettings(
        seed,
        at.requireList("azs").size(),
        grades(),
        (int) at.requireLong("familyInfo.proxyCount"),
        (int) at.requireLong("myNumber"),
        (int) at.requireLong("replicasOfMe"),
        (int) at.requireLong("zone"),
        channel,
        limits,
        prices,
        at.requireOneOf(
            "familyInfo.throttleBy",
            Map.of(
                "fraction",
                AdmissionMode.SHARE,
                "per_second",
                AdmissionMode.RATE,
                "off",
                AdmissionMode.NONE)),
        (int) at.requireLong("familyInfo.baseMode"),
        at.requireDouble("familyInfo.perTry"),
        at.requireLong("familyInfo.reportEveryUs"),
        at.requireDouble("familyInfo.reportsPerS"),
        (int) at.requireLong("familyInfo.ejects"),
        (int) at.requireLong("familyInfo.shards"),
        at.requireOneOf("discovery", Map.of("on_request", true, "pushed", false)),
        at.requireBoolean("ceilings.probes"),
        at.requireBoolean("ceilings.peers"),
        at.requireOneOf(
            "report.source",
            Map.of(
                "inline",
                LoadReportSource.RESPONSES,
                "on_probe",
                LoadReportSource.HEALTH_CHECKS,
                "off",
                LoadReportSource.NONE)),
        fields(),
        !"off".equals(at.require("weightKind")),
        at.requireLong("tickUs"),
        goal,
        site);
  }

  private List<RequestClass> grades() throws SettingsException {
    List<RequestClass> out = new ArrayList<>();
    long count = at.requireLong("grades.count");
    List<String> writes = at.requireList("familyInfo.writeClasses");
    List<String> own = at.requireList("familyInfo.classOwnZone");
    for (int k = 0; k < count; k++) {
      String path = "grades." + k + ".";
      out.add(
          new RequestClass(
              at.requireLong(path + "promiseUs"),
              at.requireLong(path + "deadlineUs"),
              at.requireDouble(path + "worth"),
              at.requireDouble(path + "lateWorth"),
              at.requireOneOf(
                  path + "repeat",
                  Map.of(
                      "retryable",
                      Idempotency.IDEMPOTENT,
                      "dedup",
                      Idempotency.WITH_KEY,
                      "fragile",
                      Idempotency.NOT_IDEMPOTENT)),
              "all".equals(at.require(path + "group")),
              at.requireLong(path + "windowUs"),
              k < writes.size() && "true".equals(writes.get(k)),
              k < own.size() && "true".equals(own.get(k)),
              at.doubleOrZero(path + "aimStretch")));
    }
    return List.copyOf(out);
  }

  private List<LoadMetric> fields() {
    List<LoadMetric> out = new ArrayList<>();
    for (String name : at.listOrEmpty("report.fields")) {
      out.add(FIELDS.getOrDefault(name, LoadMetric.OTHER));
    }
    return List.copyOf(out);
  }
}
