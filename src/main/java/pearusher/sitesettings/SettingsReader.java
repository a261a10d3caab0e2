package pearusher.sitesettings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import pearusher.policy.Assigner;

/**
 * Turns settings into what the module is told at its start. It is the one reader of them, for the
 * simulator's wire and the sockets alike, and knows no other part of a configuration; unknown keys
 * are passed over.
 */
public final class SettingsReader {
  private static final Map<String, Assigner.Field> FIELDS =
      Map.of(
          "outstanding",
          Assigner.Field.INFLIGHT,
          "backlog",
          Assigner.Field.QUEUE,
          "utilization",
          Assigner.Field.UTIL,
          "recent_ms",
          Assigner.Field.LATENCY_MS,
          "throughput",
          Assigner.Field.PER_S,
          "errors_per_s",
          Assigner.Field.ERRORS_PER_S);

  private final Paths at;

  private SettingsReader(Paths at) {
    this.at = at;
  }

  public static Assigner.Settings read(long seed, Paths at) throws SettingsException {
    return new SettingsReader(at).read(seed);
  }

  private Assigner.Settings read(long seed) throws SettingsException {
    Assigner.Channel channel =
        new Assigner.Channel(
            at.real("familyInfo.channelRate"),
            at.real("familyInfo.fixedCost"),
            at.real("familyInfo.mostWaiting"),
            (int) at.whole("familyInfo.messagesMost"),
            at.whole("familyInfo.messagesOverUs"),
            at.whole("familyInfo.transitUs"),
            at.whole("familyInfo.pushDelayMaxUs"));
    Assigner.Limits limits =
        new Assigner.Limits(
            at.whole("familyInfo.emptyForUs"),
            at.whole("rules.drainGraceUs"),
            at.real("rules.coldFrom"),
            at.whole("rules.rampTimeUs"),
            at.real("rules.overloadFactor"),
            at.whole("rules.fallUs"),
            (long) at.optional("rules.askWithinUs"),
            at.on("rules.softRemoval", "true"));
    Assigner.Prices prices =
        new Assigner.Prices(
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
    Assigner.Goal goal =
        new Assigner.Goal(
            at.optional("goal.whole"),
            at.optional("goal.worstWindow"),
            at.optional("goal.worstClass"),
            at.optional("goal.worstTenant"),
            at.optional("goal.nines"),
            at.optional("goal.ninesFull"),
            at.on("countedBy", "work"));
    Assigner.Pick pick =
        at.on("familyInfo.pick", "rotate")
            ? Assigner.Pick.ROTATE
            : at.on("familyInfo.pick", "p2c") ? Assigner.Pick.TWO : Assigner.Pick.RANDOM;
    Assigner.Site site =
        new Assigner.Site(
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
    return new Assigner.Settings(
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
                Assigner.Levels.SHARE,
                "per_second",
                Assigner.Levels.RATE,
                "off",
                Assigner.Levels.NONE)),
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
                Assigner.ReportFrom.ANSWERS,
                "on_probe",
                Assigner.ReportFrom.PROBES,
                "off",
                Assigner.ReportFrom.NOWHERE)),
        fields(),
        !"off".equals(at.need("weightKind")),
        at.whole("tickUs"),
        goal,
        site);
  }

  private List<Assigner.Grade> grades() throws SettingsException {
    List<Assigner.Grade> out = new ArrayList<>();
    long count = at.whole("grades.count");
    List<String> writes = at.list("familyInfo.writeClasses");
    List<String> own = at.list("familyInfo.classOwnZone");
    for (int k = 0; k < count; k++) {
      String path = "grades." + k + ".";
      out.add(
          new Assigner.Grade(
              at.whole(path + "promiseUs"),
              at.whole(path + "deadlineUs"),
              at.real(path + "worth"),
              at.real(path + "lateWorth"),
              at.pick(
                  path + "repeat",
                  Map.of(
                      "retryable",
                      Assigner.Effect.SAFE,
                      "dedup",
                      Assigner.Effect.KEYED,
                      "fragile",
                      Assigner.Effect.UNSAFE)),
              "all".equals(at.need(path + "group")),
              at.whole(path + "windowUs"),
              k < writes.size() && "true".equals(writes.get(k)),
              k < own.size() && "true".equals(own.get(k)),
              at.optional(path + "aimStretch")));
    }
    return List.copyOf(out);
  }

  private List<Assigner.Field> fields() {
    List<Assigner.Field> out = new ArrayList<>();
    for (String name : at.listed("report.fields")) {
      out.add(FIELDS.getOrDefault(name, Assigner.Field.OTHER));
    }
    return List.copyOf(out);
  }
}
