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
          LoadMetric.INFLIGHT,
          "backlog",
          LoadMetric.QUEUE,
          "utilization",
          LoadMetric.UTIL,
          "recent_ms",
          LoadMetric.LATENCY_MS,
          "throughput",
          LoadMetric.PER_S,
          "errors_per_s",
          LoadMetric.ERRORS_PER_S);

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
            at.real("familyInfo.channelRate"),
            at.real("familyInfo.fixedCost"),
            at.real("familyInfo.mostWaiting"),
            (int) at.whole("familyInfo.messagesMost"),
            at.whole("familyInfo.messagesOverUs"),
            at.whole("familyInfo.transitUs"),
            at.whole("familyInfo.pushDelayMaxUs"));
    ServiceLimits limits =
        new ServiceLimits(
            at.whole("familyInfo.emptyForUs"),
            at.whole("rules.drainGraceUs"),
            at.real("rules.coldFrom"),
            at.whole("rules.rampTimeUs"),
            at.real("rules.overloadFactor"),
            at.whole("rules.fallUs"),
            (long) at.optional("rules.askWithinUs"),
            at.on("rules.softRemoval", "true"));
    Costs prices =
        new Costs(
            at.real("fees.crossZone"),
            at.real("fees.probe"),
            at.real("familyInfo.costPerLine"),
            at.real("fees.lateFail"),
            at.real("fees.waste"),
            at.optional("fees.connection"),
            at.optional("fees.handshake"),
            at.optional("fees.peer"),
            at.optional("fees.discovery"),
            at.optional("familyInfo.handoverFee"),
            at.optional("fees.moves"));
    ScoreWeights goal =
        new ScoreWeights(
            at.optional("goal.whole"),
            at.optional("goal.worstWindow"),
            at.optional("goal.worstClass"),
            at.optional("goal.worstTenant"),
            at.optional("goal.nines"),
            at.optional("goal.ninesFull"),
            at.on("countedBy", "work"));
    PickMethod pick =
        at.on("familyInfo.pick", "rotate")
            ? PickMethod.ROTATE
            : at.on("familyInfo.pick", "p2c") ? PickMethod.TWO : PickMethod.RANDOM;
    SiteTraits site =
        new SiteTraits(
            pick,
            (int) at.optional("familyInfo.bootstrap"),
            at.optional("familyInfo.connsLeast"),
            (int) at.optional("ceilings.streamsPerConn"),
            (long) at.optional("ceilings.idleCloseUs"),
            (long) at.optional("ceilings.connectTimeoutUs"),
            at.optional("ceilings.cpuUsPerS"),
            at.on("familyInfo.zonal", "true"),
            at.on("familyInfo.warmKeys", "true"),
            at.on("familyInfo.exclusive", "true"),
            (long) at.optional("familyInfo.parkUs"),
            (long) at.optional("familyInfo.tenureUs"),
            (long) at.optional("familyInfo.settleUs"));
    return new PolicySettings(
        seed,
        at.list("azs").size(),
        grades(),
        (int) at.whole("familyInfo.proxyCount"),
        (int) at.whole("myNumber"),
        (int) at.whole("replicasOfMe"),
        (int) at.whole("zone"),
        channel,
        limits,
        prices,
        at.pick(
            "familyInfo.throttleBy",
            Map.of(
                "fraction",
                AdmissionMode.SHARE,
                "per_second",
                AdmissionMode.RATE,
                "off",
                AdmissionMode.NONE)),
        (int) at.whole("familyInfo.baseMode"),
        at.real("familyInfo.perTry"),
        at.whole("familyInfo.reportEveryUs"),
        at.real("familyInfo.reportsPerS"),
        (int) at.whole("familyInfo.ejects"),
        (int) at.whole("familyInfo.shards"),
        at.pick("discovery", Map.of("on_request", true, "pushed", false)),
        at.flag("ceilings.probes"),
        at.flag("ceilings.peers"),
        at.pick(
            "report.source",
            Map.of(
                "inline",
                LoadReportSource.ANSWERS,
                "on_probe",
                LoadReportSource.PROBES,
                "off",
                LoadReportSource.NOWHERE)),
        fields(),
        !"off".equals(at.need("weightKind")),
        at.whole("tickUs"),
        goal,
        site);
  }

  private List<RequestClass> grades() throws SettingsException {
    List<RequestClass> out = new ArrayList<>();
    long count = at.whole("grades.count");
    List<String> writes = at.list("familyInfo.writeClasses");
    List<String> own = at.list("familyInfo.classOwnZone");
    for (int k = 0; k < count; k++) {
      String path = "grades." + k + ".";
      out.add(
          new RequestClass(
              at.whole(path + "promiseUs"),
              at.whole(path + "deadlineUs"),
              at.real(path + "worth"),
              at.real(path + "lateWorth"),
              at.pick(
                  path + "repeat",
                  Map.of(
                      "retryable",
                      Idempotency.SAFE,
                      "dedup",
                      Idempotency.KEYED,
                      "fragile",
                      Idempotency.UNSAFE)),
              "all".equals(at.need(path + "group")),
              at.whole(path + "windowUs"),
              k < writes.size() && "true".equals(writes.get(k)),
              k < own.size() && "true".equals(own.get(k)),
              at.optional(path + "aimStretch")));
    }
    return List.copyOf(out);
  }

  private List<LoadMetric> fields() {
    List<LoadMetric> out = new ArrayList<>();
    for (String name : at.listed("report.fields")) {
      out.add(FIELDS.getOrDefault(name, LoadMetric.OTHER));
    }
    return List.copyOf(out);
  }
}
