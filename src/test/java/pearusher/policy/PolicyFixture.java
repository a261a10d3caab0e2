package pearusher.policy;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A policy with simulated time, servers and proxies. Each server has a response time and a share of
 * failed attempts, from which the fixture generates load reports.
 */
final class PolicyFixture {
  static final long SECOND_US = 1_000_000;
  static final float[] NO_LOAD = new float[0];

  /** Tokens of the timers that the policy sets. */
  static final long CONTROL_PERIOD_TIMER = 1;

  static final long ENDPOINT_LIST_TIMER = 2;
  static final long PACING_TIMER = 3;

  private static final double DEFAULT_LATENCY_MS = 200;
  private static final long ACK_DELAY_US = 200_000;
  private static final long HEALTH_CHECK_US = 2000;
  private static final double REQUESTS_PER_SECOND = 10;

  final RecordingCommands commands = new RecordingCommands();
  final FaastPolicy policy;
  final PolicySettings settings;

  /** Mean response time by server, where it is not the default. */
  final Map<Long, Double> latencyMs = new TreeMap<>();

  /** Share of attempts that fail by server, where it is not 0. */
  final Map<Long, Double> failureShare = new TreeMap<>();

  double attemptsPerZone = 100;
  long nowUs = 100 * SECOND_US;
  private List<ServerEntry> initialServers = List.of();

  PolicyFixture(PolicySettings settings) {
    this.settings = settings;
    policy = new FaastPolicy(settings, commands);
  }

  PolicyFixture() {
    this(new PolicySettingsBuilder().build());
  }

  /** Returns a fixture with default settings, servers that started long ago, and bound proxies. */
  static PolicyFixture started(int servers, int proxies) {
    return new PolicyFixture().start(TestServers.readyServers(servers, 2), proxies);
  }

  PolicyFixture start(List<ServerEntry> servers, int proxies) {
    initialServers = servers;
    sendEndpointList(ListUpdateKind.CACHED, servers);
    for (int proxy = 0; proxy < proxies; proxy++) {
      join(proxy, true);
    }
    endBatch();
    return this;
  }

  /** Joins a proxy whose number, modulo the number of zones, is its zone. */
  void join(int proxy, boolean listedChangesOnly) {
    join(proxy, proxy % settings.zones(), listedChangesOnly);
  }

  void join(int proxy, int zone, boolean listedChangesOnly) {
    commands.joinedProxies.add(proxy);
    policy.onProxyJoined(nowUs, proxy, zone, REQUESTS_PER_SECOND, listedChangesOnly);
  }

  void leave(int proxy) {
    commands.joinedProxies.remove(proxy);
    commands.tableByProxy.remove(proxy);
    policy.onProxyLeft(nowUs, proxy);
  }

  void sendEndpointList(ListUpdateKind kind, List<ServerEntry> entries) {
    policy.onEndpointList(nowUs, kind, entries);
  }

  /** Sends an endpoint list and ends its batch. */
  void updateEndpoints(ListUpdateKind kind, List<ServerEntry> entries) {
    sendEndpointList(kind, entries);
    endBatch();
  }

  void fireTimer(long token) {
    policy.onTimer(nowUs, token);
  }

  void endBatch() {
    policy.onBatchEnd(nowUs);
  }

  /** Fires the pacing timer and ends the batch. */
  void endPacedBatch() {
    fireTimer(PACING_TIMER);
    endBatch();
  }

  void advance(long elapsedUs) {
    nowUs += elapsedUs;
    commands.linesThisBatch = 0;
  }

  void reportLoad(long server, int zone, long attempts, long failed, long spanUs, long meanUs) {
    policy.onLoadReport(
        nowUs,
        AttemptReport.ofSpanEndingNow(server, zone, attempts, failed, spanUs, meanUs, NO_LOAD));
  }

  void reportUsage(int proxy, int requestClass, long requests, long failed, long spanUs) {
    policy.onUsageReport(nowUs, proxy, requestClass, requests, failed, spanUs);
  }

  /** Lets each proxy acknowledge the last message, with a given delay. */
  void acknowledgeAll(long delayUs) {
    for (int proxy : commands.joinedProxies) {
      policy.onAcknowledgement(nowUs, proxy, commands.lastAckNumber, delayUs);
    }
  }

  /** Sets the share of failures and the response time of all initial servers, as in an overload. */
  void failAll(double share, double meanMs) {
    for (ServerEntry server : initialServers) {
      failureShare.put(server.server(), share);
      latencyMs.put(server.server(), meanMs);
    }
  }

  void recoverAll() {
    failureShare.clear();
    latencyMs.clear();
  }

  /**
   * Runs one second: delivers reports according to the shares of each zone's table, ends the batch
   * and acknowledges its messages.
   */
  void runPeriod() {
    advance(SECOND_US);
    deliverReports();
    endBatch();
    if (commands.lastAckNumber > 0) {
      acknowledgeAll(ACK_DELAY_US);
    }
  }

  PolicyFixture runPeriods(int count) {
    for (int i = 0; i < count; i++) {
      runPeriod();
    }
    return this;
  }

  /** Runs periods in which each health check returns the given utilization. */
  void runPeriodsAtUtilization(int count, double utilization) {
    float[] load = {(float) utilization};
    for (int i = 0; i < count; i++) {
      for (RecordedCommand.CheckHealth check : commands.issued(RecordedCommand.CheckHealth.class)) {
        policy.onHealthCheckResult(
            nowUs, check.server(), HealthCheckResult.OK, HEALTH_CHECK_US, load);
      }
      commands.issued.clear();
      runPeriod();
    }
  }

  /**
   * Delivers the load and usage reports of one second, according to the shares of each zone's
   * table.
   */
  void deliverReports() {
    for (int zone = 0; zone < settings.zones(); zone++) {
      reportZone(zone);
    }
    for (int proxy : commands.joinedProxies) {
      for (int number = 0; number < settings.requestClasses().size(); number++) {
        reportUsage(proxy, number, 10, 0, SECOND_US);
      }
    }
  }

  private void reportZone(int zone) {
    Map<Long, Double> weights = commands.weightsByTable.getOrDefault(zone, Map.of());
    double sum = commands.totalWeight(zone);
    for (long server : List.copyOf(weights.keySet())) {
      long attempts = Math.round(attemptsPerZone * (weights.get(server) / sum));
      if (attempts > 0 && !commands.ejected.contains(server)) {
        long failed = Math.round(attempts * failureShare.getOrDefault(server, 0.0));
        double meanMs = latencyMs.getOrDefault(server, DEFAULT_LATENCY_MS);
        reportLoad(server, zone, attempts, failed, SECOND_US, Math.round(1000 * meanMs));
      }
    }
  }
}
