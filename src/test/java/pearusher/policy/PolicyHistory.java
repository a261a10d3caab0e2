package pearusher.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A simulated deployment around one policy.
 *
 * <p>Servers respond, proxies report and acknowledge, and timers fire in simulated time. Everything
 * depends only on the seed and on the script that changes the deployment, so a history produces the
 * same commands in each run.
 */
final class PolicyHistory {
  static final long SECOND = 1_000_000;
  static final long LONG_AGO_US = 0;
  private static final int REPORT_GROUPS = 5;
  private static final long ACKNOWLEDGEMENT_BATCH_US = 50_000;

  /** Behaviour of a simulated server. */
  static final class ServerModel {
    final long id;
    final int zone;
    Lifecycle lifecycle = Lifecycle.READY;
    long startedUs;
    double listedWeight = 1;
    double meanMs = 200;
    double failureShare;

    ServerModel(long id, int zone) {
      this.id = id;
      this.zone = zone;
    }

    ServerEntry entry() {
      return new ServerEntry(id, zone, 0, 0, lifecycle, listedWeight, startedUs);
    }
  }

  private record Scheduled(long atUs, long sequence, Runnable action) {}

  final CommandDigest commands = new CommandDigest();
  final PolicySettings settings;
  final AssignmentPolicy policy;
  final SplittableRandom random;
  final Map<Long, ServerModel> servers = new TreeMap<>();

  /** Zone by proxy. */
  final Map<Integer, Integer> proxies = new TreeMap<>();

  /** Factor of the response times of all servers. */
  double slowdownFactor = 1;

  /** Share of attempts that fail in addition to the failures of a single server. */
  double failureShare;

  double attemptsPerZone = 300;

  /** Requests per second and class at each proxy. */
  double requestsPerSecond = 10;

  /** Utilization that health checks return, from 0 to 1, before a random increase of up to 0.1. */
  double utilization = 0.4;

  double healthCheckLoss = 0.1;
  boolean reportsSuspended;

  /** Delay between the end of a report's time span and its arrival, in microseconds. */
  long reportAgeUs;

  double acknowledgementLoss;
  long acknowledgementDelayUs;

  /** Rate of the channel, as a share of the configured rate. */
  double channelRateFactor = 1;

  boolean isListUnavailable;

  private final PriorityQueue<Scheduled> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(Scheduled::atUs).thenComparingLong(Scheduled::sequence));
  private long elapsedUs;
  private long clockOffsetUs = 100 * SECOND;
  private long channelFreeUs;
  private long sequence;

  PolicyHistory(PolicySettings settings, long seed) {
    this.settings = settings;
    random = new SplittableRandom(seed);
    commands.startBatch(nowUs());
    policy = new FaastPolicy(settings, commands);
    for (int group = 0; group < REPORT_GROUPS; group++) {
      scheduleReports(group, SECOND + group * SECOND / REPORT_GROUPS);
    }
  }

  /** Returns the current time as passed to the policy. */
  long nowUs() {
    return elapsedUs + clockOffsetUs;
  }

  /** Changes the clock of the policy without advancing the simulated time. */
  void stepClock(long stepUs) {
    clockOffsetUs += stepUs;
  }

  private void schedule(long delayUs, Runnable action) {
    queue.add(new Scheduled(elapsedUs + delayUs, sequence++, action));
  }

  /** Advances the simulated time and runs the events that are due. */
  void run(double seconds) {
    long endUs = elapsedUs + Math.round(seconds * SECOND);
    while (!queue.isEmpty() && queue.peek().atUs() <= endUs) {
      elapsedUs = queue.peek().atUs();
      while (!queue.isEmpty() && queue.peek().atUs() == elapsedUs) {
        queue.poll().action().run();
      }
      endBatch();
    }
    elapsedUs = endUs;
  }

  /** Ends the batch of events of one instant and executes the commands. */
  void endBatch() {
    policy.onBatchEnd(nowUs());
    for (CommandDigest.Timer timer : commands.timersOfBatch) {
      schedule(timer.delayUs(), () -> policy.onTimer(nowUs(), timer.token()));
    }
    commands.healthChecksOfBatch.forEach(this::answerHealthCheck);
    if (commands.isWatchStartedInBatch) {
      schedule(
          50_000,
          () ->
              sendEndpointList(
                  isListUnavailable ? ListUpdateKind.FAILED : ListUpdateKind.COMPLETE));
    }
    if (commands.ackNumberOfBatch > 0) {
      sendMessages(commands.ackNumberOfBatch);
    }
    commands.startBatch(nowUs());
  }

  /** Lists servers that started long ago, joins proxies without tables, and ends the batch. */
  void start(int servers, int zonesWithProxies, int proxies) {
    addServers(1, servers, settings.zones(), LONG_AGO_US);
    sendEndpointList(ListUpdateKind.CACHED);
    joinAll(0, proxies, zonesWithProxies, true);
    endBatch();
  }

  /** Adds servers with consecutive numbers, with zones assigned in turn, without listing them. */
  void addServers(long first, int count, int zoneCount, long startedUs) {
    for (long id = first; id < first + count; id++) {
      ServerModel server = new ServerModel(id, (int) (id % zoneCount));
      server.startedUs = startedUs;
      server.meanMs = 100 + random.nextInt(200);
      servers.put(id, server);
    }
  }

  void sendEndpointList(ListUpdateKind kind) {
    List<ServerEntry> entries = new ArrayList<>();
    if (kind != ListUpdateKind.FAILED) {
      servers.values().forEach(server -> entries.add(server.entry()));
    }
    policy.onEndpointList(nowUs(), kind, entries);
  }

  /** Sends an endpoint-list update with the current state of these servers. */
  void sendListUpdate(List<Long> ids) {
    policy.onEndpointList(
        nowUs(), ListUpdateKind.DELTA, ids.stream().map(id -> servers.get(id).entry()).toList());
  }

  void changeLifecycle(Lifecycle state, List<Long> ids) {
    ids.forEach(id -> servers.get(id).lifecycle = state);
    sendListUpdate(ids);
  }

  void restart(List<Long> ids) {
    ids.forEach(
        id -> {
          servers.get(id).startedUs = nowUs();
          servers.get(id).lifecycle = Lifecycle.READY;
        });
    sendListUpdate(ids);
  }

  /** Returns the server numbers from {@code first} to {@code last}. */
  static List<Long> serverIds(long first, long last) {
    List<Long> ids = new ArrayList<>();
    for (long id = first; id <= last; id++) {
      ids.add(id);
    }
    return ids;
  }

  private void answerHealthCheck(long id) {
    boolean lost = random.nextDouble() < healthCheckLoss;
    HealthCheckResult[] failures = {
      HealthCheckResult.ERROR,
      HealthCheckResult.REJECTED,
      HealthCheckResult.TIMED_OUT,
      HealthCheckResult.UNREACHABLE,
      HealthCheckResult.DISCONNECTED,
      HealthCheckResult.OTHER
    };
    HealthCheckResult result =
        lost ? failures[random.nextInt(failures.length)] : HealthCheckResult.OK;
    float load = (float) (utilization + random.nextDouble() * 0.1);
    long tookUs = 5000L + random.nextInt(40_000);
    schedule(
        tookUs,
        () -> policy.onHealthCheckResult(nowUs(), id, result, tookUs, new float[] {3, load}));
  }

  void join(int proxy, int zone, boolean listedChangesOnly) {
    proxies.put(proxy, zone);
    commands.bound.remove(proxy);
    policy.onProxyJoined(nowUs(), proxy, zone, requestsPerSecond, listedChangesOnly);
  }

  /** Joins proxies with consecutive numbers, with zones assigned in turn. */
  void joinAll(int first, int count, int zoneCount, boolean listedChangesOnly) {
    for (int proxy = first; proxy < first + count; proxy++) {
      join(proxy, proxy % zoneCount, listedChangesOnly);
    }
  }

  void leave(int proxy) {
    proxies.remove(proxy);
    commands.bound.remove(proxy);
    policy.onProxyLeft(nowUs(), proxy);
  }

  private void sendMessages(int ackNumber) {
    long sentAtUs = elapsedUs;
    proxies
        .keySet()
        .forEach(
            proxy -> {
              int lines = linesFor(proxy);
              if (lines == 0) {
                return;
              }
              double linesPerSecond = settings.channel().linesPerSecond() * channelRateFactor;
              double tookUs =
                  (lines + settings.channel().messageOverheadLines() + 1) / linesPerSecond * 1e6;
              channelFreeUs = Math.max(channelFreeUs, elapsedUs) + Math.round(tookUs);
              long arrivedAtUs = channelFreeUs + settings.channel().transitDelayUs();
              if (random.nextDouble() >= acknowledgementLoss) {
                schedule(
                    roundUpToBatch(arrivedAtUs + acknowledgementDelayUs) - elapsedUs,
                    () ->
                        policy.onAcknowledgement(
                            nowUs(), proxy, ackNumber, arrivedAtUs - sentAtUs));
              }
            });
  }

  /**
   * Rounds a time up, so that acknowledgements of different proxies arrive at the same instant,
   * which keeps the number of batches small.
   */
  private static long roundUpToBatch(long atUs) {
    return (atUs / ACKNOWLEDGEMENT_BATCH_US + 1) * ACKNOWLEDGEMENT_BATCH_US;
  }

  private int linesFor(int proxy) {
    Integer table = commands.bound.get(proxy);
    if (table == null) {
      return commands.ejectionChangesInBatch;
    }
    int tableSize = commands.tables.getOrDefault(table, Map.of()).size();
    int changes = commands.changesInBatchByTable.getOrDefault(table, 0);
    return (commands.proxiesBoundInBatch.contains(proxy) ? 1 + tableSize : changes)
        + commands.ejectionChangesInBatch;
  }

  private void scheduleReports(int group, long delayUs) {
    schedule(
        delayUs,
        () -> {
          scheduleReports(group, SECOND);
          if (!reportsSuspended) {
            for (int zone = group; zone < settings.zones(); zone += REPORT_GROUPS) {
              reportZone(zone);
            }
          }
        });
  }

  private void reportZone(int zone) {
    if (!proxies.containsValue(zone)) {
      return;
    }
    Map<Long, Double> table = commands.tables.getOrDefault(zone, Map.of());
    double sum = table.values().stream().mapToDouble(weight -> weight).sum();
    for (Map.Entry<Long, Double> entry : table.entrySet()) {
      ServerModel server = servers.get(entry.getKey());
      if (server == null) {
        continue;
      }
      long attempts =
          Math.round(attemptsPerZone * entry.getValue() / sum * (0.8 + 0.4 * random.nextDouble()));
      if (attempts > 0 && !commands.ejected.contains(server.id)) {
        double failedShare = Math.min(1, server.failureShare + failureShare);
        long failed = Math.round(attempts * failedShare);
        long meanUs =
            Math.round(1000 * server.meanMs * slowdownFactor * (0.9 + 0.2 * random.nextDouble()));
        reportLoad(server.id, zone, attempts, failed, meanUs);
      }
    }
    proxies.forEach(
        (proxy, proxyZone) -> {
          for (int requestClass = 0;
              proxyZone == zone && requestClass < settings.requestClasses().size();
              requestClass++) {
            long requests = Math.round(requestsPerSecond * (0.5 + random.nextDouble()));
            policy.onUsageReport(
                nowUs(),
                proxy,
                requestClass,
                requests,
                Math.round(requests * failureShare),
                SECOND);
          }
        });
  }

  private void reportLoad(long server, int zone, long attempts, long failed, long meanUs) {
    long spanUs = reportAgeUs > 0 ? 3 * SECOND : SECOND;
    policy.onLoadReport(
        nowUs(),
        new AttemptReport(
            server,
            zone,
            attempts,
            failed,
            spanUs,
            meanUs,
            new float[0],
            Math.max(0, reportAgeUs)));
  }
}
