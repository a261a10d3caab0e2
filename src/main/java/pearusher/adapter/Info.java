package pearusher.adapter;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pearusher.Assigner;

/** Turns the start message's path=value lines into settings; unknown keys are passed over. */
final class Info {
    private final Map<String, String> values = new HashMap<>();

    private Info(String text) {
        for (String line : text.split("\n")) {
            int eq = line.indexOf('=');
            if (eq > 0) {
                values.put(line.substring(0, eq).trim(), line.substring(eq + 1).trim());
            }
        }
    }

    static Assigner.Settings settings(long seed, String text) throws WireException {
        return new Info(text).read(seed);
    }

    private Assigner.Settings read(long seed) throws WireException {
        Assigner.Channel channel = new Assigner.Channel(real("familyInfo.channelRate"),
                real("familyInfo.fixedCost"), real("familyInfo.mostWaiting"),
                (int) whole("familyInfo.messagesMost"), whole("familyInfo.messagesOverUs"),
                whole("familyInfo.transitUs"), whole("familyInfo.pushDelayMaxUs"));
        Assigner.Limits limits = new Assigner.Limits(whole("familyInfo.emptyForUs"),
                whole("rules.drainGraceUs"), real("rules.coldFrom"), whole("rules.rampTimeUs"),
                real("rules.overloadFactor"), whole("rules.fallUs"),
                values.containsKey("rules.askWithinUs") ? whole("rules.askWithinUs") : 0,
                "true".equals(values.get("rules.softRemoval")));
        Assigner.Prices prices = new Assigner.Prices(real("fees.crossZone"), real("fees.probe"),
                real("familyInfo.costPerLine"), real("fees.lateFail"), real("fees.waste"),
                optional("fees.connection"), optional("fees.handshake"), optional("fees.peer"),
                optional("fees.discovery"), optional("familyInfo.handoverFee"), optional("fees.moves"));
        Assigner.Goal goal = new Assigner.Goal(optional("goal.whole"), optional("goal.worstWindow"),
                optional("goal.worstClass"), optional("goal.worstTenant"), optional("goal.nines"),
                optional("goal.ninesFull"), on("countedBy", "work"));
        Assigner.Pick pick = on("familyInfo.pick", "rotate") ? Assigner.Pick.ROTATE
                : on("familyInfo.pick", "p2c") ? Assigner.Pick.TWO : Assigner.Pick.RANDOM;
        Assigner.Site site = new Assigner.Site(pick, (int) optional("familyInfo.bootstrap"),
                optional("familyInfo.connsLeast"), (int) optional("ceilings.streamsPerConn"),
                (long) optional("ceilings.idleCloseUs"), (long) optional("ceilings.connectTimeoutUs"),
                optional("ceilings.cpuUsPerS"), on("familyInfo.zonal", "true"),
                on("familyInfo.warmKeys", "true"), on("familyInfo.exclusive", "true"),
                (long) optional("familyInfo.parkUs"), (long) optional("familyInfo.tenureUs"),
                (long) optional("familyInfo.settleUs"));
        return new Assigner.Settings(seed, list("azs").size(), grades(), (int) whole("familyInfo.proxyCount"),
                (int) whole("myNumber"), (int) whole("replicasOfMe"), (int) whole("zone"), channel, limits,
                prices,
                pick("familyInfo.throttleBy", Map.of("fraction", Assigner.Levels.SHARE,
                        "per_second", Assigner.Levels.RATE, "off", Assigner.Levels.NONE)),
                (int) whole("familyInfo.baseMode"), real("familyInfo.perTry"),
                whole("familyInfo.reportEveryUs"), real("familyInfo.reportsPerS"),
                (int) whole("familyInfo.ejects"), (int) whole("familyInfo.shards"),
                pick("discovery", Map.of("on_request", true, "pushed", false)), flag("ceilings.probes"),
                flag("ceilings.peers"),
                pick("report.source", Map.of("inline", Assigner.ReportFrom.ANSWERS,
                        "on_probe", Assigner.ReportFrom.PROBES, "off", Assigner.ReportFrom.NOWHERE)),
                fields(), !"off".equals(need("weightKind")), whole("tickUs"), goal, site);
    }

    private List<Assigner.Grade> grades() throws WireException {
        List<Assigner.Grade> out = new ArrayList<>();
        long count = whole("grades.count");
        List<String> writes = list("familyInfo.writeClasses");
        List<String> own = list("familyInfo.classOwnZone");
        for (int k = 0; k < count; k++) {
            String at = "grades." + k + ".";
            out.add(new Assigner.Grade(whole(at + "promiseUs"), whole(at + "deadlineUs"), real(at + "worth"),
                    real(at + "lateWorth"),
                    pick(at + "repeat", Map.of("retryable", Assigner.Effect.SAFE, "dedup",
                            Assigner.Effect.KEYED, "fragile", Assigner.Effect.UNSAFE)),
                    "all".equals(need(at + "group")), whole(at + "windowUs"),
                    k < writes.size() && "true".equals(writes.get(k)),
                    k < own.size() && "true".equals(own.get(k)), optional(at + "aimStretch")));
        }
        return List.copyOf(out);
    }

    private List<Assigner.Field> fields() {
        Map<String, Assigner.Field> known = Map.of("outstanding", Assigner.Field.INFLIGHT, "backlog",
                Assigner.Field.QUEUE, "utilization", Assigner.Field.UTIL, "recent_ms",
                Assigner.Field.LATENCY_MS, "throughput", Assigner.Field.PER_S, "errors_per_s",
                Assigner.Field.ERRORS_PER_S);
        List<Assigner.Field> out = new ArrayList<>();
        for (String name : values.getOrDefault("report.fields", "").split(",")) {
            if (!name.isEmpty()) {
                out.add(known.getOrDefault(name, Assigner.Field.OTHER));
            }
        }
        return List.copyOf(out);
    }

    /** A key that no decision needs yet: 0 where it is left out. */
    private double optional(String key) throws WireException {
        return values.containsKey(key) ? real(key) : 0;
    }

    private boolean on(String key, String word) {
        return word.equals(values.get(key));
    }

    private String need(String key) throws WireException {
        String value = values.get(key);
        if (value == null) {
            throw new WireException("settings: the key " + key + " is missing");
        }
        return value;
    }

    private WireException unreadable(String key, String value) {
        return new WireException("settings: the key " + key + " is unreadable: '" + value + "'");
    }

    private double real(String key) throws WireException {
        String value = need(key);
        try {
            double out = Double.parseDouble(value);
            if (Double.isFinite(out)) {
                return out;
            }
        } catch (NumberFormatException e) {
            throw unreadable(key, value);
        }
        throw unreadable(key, value);
    }

    private long whole(String key) throws WireException {
        return Math.round(real(key));
    }

    private boolean flag(String key) throws WireException {
        return pick(key, Map.of("true", true, "false", false));
    }

    private List<String> list(String key) throws WireException {
        String value = need(key);
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    private <T> T pick(String key, Map<String, T> of) throws WireException {
        T out = of.get(need(key));
        if (out == null) {
            throw unreadable(key, need(key));
        }
        return out;
    }
}
