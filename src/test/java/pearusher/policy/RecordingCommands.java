package pearusher.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Settings for tests, and a sink that keeps what was ordered and counts the channel's lines itself.
 */
final class RecordingCommands implements PolicyCommands {
  static final long S = 1_000_000;
  static final float[] NO_LOAD = new float[0];

  final List<String> orders = new ArrayList<>();
  final List<String> logs = new ArrayList<>();
  final Map<Integer, Map<Long, Double>> tables = new TreeMap<>();
  final Map<Integer, Integer> bound = new TreeMap<>();
  final Set<Long> withdrawn = new HashSet<>();
  final Map<Integer, Integer> retries = new HashMap<>();
  final Map<Integer, Double> levels = new HashMap<>();
  final Map<Long, Long> timers = new TreeMap<>();
  final Set<Integer> joined = new HashSet<>();
  final List<Long> forgotten = new ArrayList<>();
  final Map<Long, Boolean> doubted = new TreeMap<>();
  int linesThisReply;
  int marks;

  static RequestClass grade(Idempotency effect, double worth) {
    boolean writes = effect == Idempotency.NOT_IDEMPOTENT;
    return new RequestClass(S, 3 * S, worth, 0.2, effect, false, 5 * S, writes, false, 0);
  }

  static PolicySettings settings(
      AdmissionMode levels, List<RequestClass> grades, int zones, double crossZone, int slices) {
    return settings(levels, grades, zones, crossZone, slices, 0);
  }

  static PolicySettings settings(
      AdmissionMode levels,
      List<RequestClass> grades,
      int zones,
      double crossZone,
      int slices,
      int messagesMost) {
    return settings(levels, grades, zones, crossZone, slices, messagesMost, 8);
  }

  static PolicySettings settings(
      AdmissionMode levels,
      List<RequestClass> grades,
      int zones,
      double crossZone,
      int slices,
      int messagesMost,
      int proxies) {
    return new PolicySettings(
        7,
        zones,
        grades,
        proxies,
        0,
        1,
        0,
        new ChannelSettings(3000, 10, 4500, messagesMost, 10 * S, 200_000, 500_000),
        new ServiceLimits(3 * S, 2 * S, 0.2, 10 * S, 3, 2 * S, 10 * S, false),
        new Costs(crossZone, 0.02, 0.04, 0.05, 0.05, 0, 0, 0, 0, 0, 0),
        levels,
        1,
        1.2,
        S,
        150,
        3,
        slices,
        true,
        true,
        true,
        LoadReportSource.HEALTH_CHECKS,
        List.of(LoadMetric.UTILIZATION),
        false,
        5000,
        null,
        null);
  }

  static PolicySettings seeded(PolicySettings s, long seed) {
    return changed(s, seed, s.channel());
  }

  /** The same on a channel of another pace, which holds a second and a half of its lines. */
  static PolicySettings paced(PolicySettings s, double linesPerS) {
    ChannelSettings c = s.channel();
    return changed(
        s,
        s.seed(),
        new ChannelSettings(
            linesPerS,
            c.messageOverheadLines(),
            1.5 * linesPerS,
            c.maxMessagesPerProxy(),
            c.messageWindowUs(),
            c.transitDelayUs(),
            c.maxPushDelayUs()));
  }

  private static PolicySettings changed(PolicySettings s, long seed, ChannelSettings channel) {
    return new PolicySettings(
        seed,
        s.zones(),
        s.requestClasses(),
        s.proxies(),
        s.instance(),
        s.instances(),
        s.zone(),
        channel,
        s.limits(),
        s.costs(),
        s.admissionMode(),
        s.defaultRetry(),
        s.attemptTimeoutObjectives(),
        s.controlPeriodUs(),
        s.maxReportsPerSecond(),
        s.consecutiveFailuresToEject(),
        s.slices(),
        s.endpointListOnRequest(),
        s.healthChecksEnabled(),
        s.peersEnabled(),
        s.loadReportSource(),
        s.loadMetrics(),
        s.weightsListed(),
        s.tickUs(),
        s.scoreWeights(),
        s.siteTraits());
  }

  static PolicySettings settings() {
    return settings(
        AdmissionMode.SHARE,
        List.of(grade(Idempotency.IDEMPOTENT, 1), grade(Idempotency.NOT_IDEMPOTENT, 3)),
        2,
        0,
        0);
  }

  static ServerEntry ready(long id, int zone, long startedUs) {
    return new ServerEntry(id, zone, 0, 0, Lifecycle.READY, 1, startedUs);
  }

  static ServerEntry state(long id, int zone, Lifecycle state) {
    return new ServerEntry(id, zone, 0, 0, state, 1, 0);
  }

  /** Servers 1 to n, long started, alternating over the zones. */
  static List<ServerEntry> servers(int n, int zones) {
    List<ServerEntry> out = new ArrayList<>();
    for (int i = 1; i <= n; i++) {
      out.add(ready(i, i % zones, 0));
    }
    return out;
  }

  double share(int table, long server) {
    return tables.get(table).getOrDefault(server, 0.0) / sum(table);
  }

  double sum(int table) {
    double sum = 0;
    for (double w : tables.getOrDefault(table, Map.of()).values()) {
      sum += w;
    }
    return sum;
  }

  @Override
  public void setWeight(int table, long server, double weight) {
    orders.add("line " + table + " " + server + " " + weight);
    Map<Long, Double> lines = tables.computeIfAbsent(table, t -> new TreeMap<>());
    if (weight > 0) {
      lines.put(server, weight);
    } else {
      lines.remove(server);
    }
    linesThisReply += (int) bound.values().stream().filter(t -> t == table).count();
  }

  @Override
  public void clearTable(int table) {
    orders.add("clear " + table);
    tables.remove(table);
  }

  @Override
  public void eject(long server) {
    setEjected(server, true);
  }

  @Override
  public void reinstate(long server) {
    setEjected(server, false);
  }

  private void setEjected(long server, boolean out) {
    orders.add("withdraw " + server + " " + out);
    if (out) {
      withdrawn.add(server);
    } else {
      withdrawn.remove(server);
    }
    linesThisReply += joined.size();
  }

  @Override
  public void bindProxy(int proxy, int table, int classBits) {
    orders.add("bind " + proxy + " " + table + " " + classBits);
    bound.put(proxy, table);
    linesThisReply += 1 + tables.getOrDefault(table, Map.of()).size();
  }

  @Override
  public void setAdmission(int table, int classBits, double level, int retry) {
    orders.add("admit " + table + " " + classBits + " " + level + " " + retry);
    retries.put(classBits, retry);
    levels.put(classBits, level);
    linesThisReply += (int) bound.values().stream().filter(t -> t == table).count();
  }

  @Override
  public void requestAck(int number, boolean toAll) {
    orders.add("mark " + number);
    marks = number;
  }

  @Override
  public void watchEndpoints(boolean on) {
    orders.add("watch " + on);
  }

  @Override
  public void fetchEndpoints() {
    orders.add("fetch");
  }

  @Override
  public void checkHealth(long server) {
    orders.add("probe " + server);
  }

  @Override
  public void setTimer(long delayUs, long token) {
    orders.add("timer " + delayUs + " " + token);
    timers.put(token, delayUs);
  }

  @Override
  public void sendToPeer(long peer, byte[] body) {
    orders.add("tell");
  }

  @Override
  public void log(String text) {
    orders.add("log " + text);
    logs.add(text);
  }

  @Override
  public void suspectEjection(long server, boolean all) {
    doubted.put(server, all);
  }

  @Override
  public void forgetServer(long server) {
    forgotten.add(server);
  }
}
