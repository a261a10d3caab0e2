package pearusher.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A simulated deployment around one instance of the decision module.
 *
 * <p>Servers answer, proxies report and acknowledge, and timers fire in simulated time. All of it
 * depends on the seed and on the script that changes the deployment, so that a history has the same
 * orders each time.
 */
final class PolicyHistory {
  static final long SECOND = 1_000_000;
  private static final int REPORT_GROUPS = 5;
  private static final long ACKNOWLEDGEMENT_BATCH_US = 50_000;

  /** What a server does with the requests it gets. */
  static final class ServerModel {
    final long id;
    final int zone;
    Lifecycle state = Lifecycle.READY;
    long startedUs;
    double listedWeight = 1;
    double meanMs = 200;
    double failShare;

    ServerModel(long id, int zone) {
      this.id = id;
      this.zone = zone;
    }

    ServerEntry entry() {
      return new ServerEntry(id, zone, 0, 0, state, listedWeight, startedUs);
    }
  }

  private record Scheduled(long atUs, long sequence, Runnable action) {}

  final OrderRecorder orders = new OrderRecorder();
  final PolicySettings settings;
  final AssignmentPolicy policy;
  final SplittableRandom random;
  final Map<Long, ServerModel> servers = new TreeMap<>();

  /** The zone of each proxy. */
  final Map<Integer, Integer> proxies = new TreeMap<>();

  /** Answer times of all servers are multiplied by this. */
  double slowdown = 1;

  /** Share of tries that fail beside a server's own failures. */
  double failures;

  double triesPerZone = 300;

  /** Requests a second of each class at a proxy. */
  double requestsPerS = 10;

  /** What servers answer to probes, from 0 to 1. */
  double utilization = 0.4;

  double probeLoss = 0.1;
  boolean silent;

  /** Reports come so much later than the span that they cover. */
  long reportAgeUs;

  double acknowledgementLoss;
  long acknowledgementDelayUs;

  /** The pace of the channel as a share of the stated one. */
  double channelPace = 1;

  boolean listUnavailable;

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
    orders.startReply(now());
    policy = new FaastPolicy(settings, orders);
    for (int group = 0; group < REPORT_GROUPS; group++) {
      scheduleReports(group, SECOND + group * SECOND / REPORT_GROUPS);
    }
  }

  /** The time that the module is told. */
  long now() {
    return elapsedUs + clockOffsetUs;
  }

  void stepClock(long us) {
    clockOffsetUs += us;
  }

  private void schedule(long delayUs, Runnable action) {
    queue.add(new Scheduled(elapsedUs + delayUs, sequence++, action));
  }

  /** Lets simulated time pass. */
  void run(double seconds) {
    long endUs = elapsedUs + Math.round(seconds * SECOND);
    while (!queue.isEmpty() && queue.peek().atUs() <= endUs) {
      elapsedUs = queue.peek().atUs();
      while (!queue.isEmpty() && queue.peek().atUs() == elapsedUs) {
        queue.poll().action().run();
      }
      close();
    }
    elapsedUs = endUs;
  }

  /** Ends the events of one instant and carries out what was ordered. */
  void close() {
    policy.onBatchEnd(now());
    for (OrderRecorder.Timer timer : orders.timers) {
      schedule(timer.delayUs(), () -> policy.onTimer(now(), timer.token()));
    }
    orders.probes.forEach(this::answerProbe);
    if (orders.watchNow) {
      schedule(
          50_000, () -> list(listUnavailable ? ListUpdateKind.FAILED : ListUpdateKind.COMPLETE));
    }
    if (orders.markNow > 0) {
      sendMessages(orders.markNow);
    }
    orders.startReply(now());
  }

  // Servers and the list.

  /** Adds servers with consecutive numbers, in turn over the zones, without listing them. */
  void addServers(long first, int count, int overZones, long startedUs) {
    for (long id = first; id < first + count; id++) {
      ServerModel server = new ServerModel(id, (int) (id % overZones));
      server.startedUs = startedUs;
      server.meanMs = 100 + random.nextInt(200);
      servers.put(id, server);
    }
  }

  void list(ListUpdateKind form) {
    List<ServerEntry> entries = new ArrayList<>();
    if (form != ListUpdateKind.FAILED) {
      servers.values().forEach(server -> entries.add(server.entry()));
    }
    policy.onEndpointList(now(), form, entries);
  }

  /** Tells that these servers changed. */
  void listChanges(List<Long> ids) {
    policy.onEndpointList(
        now(), ListUpdateKind.DELTA, ids.stream().map(id -> servers.get(id).entry()).toList());
  }

  void change(Lifecycle state, List<Long> ids) {
    ids.forEach(id -> servers.get(id).state = state);
    listChanges(ids);
  }

  void restart(List<Long> ids) {
    ids.forEach(
        id -> {
          servers.get(id).startedUs = now();
          servers.get(id).state = Lifecycle.READY;
        });
    listChanges(ids);
  }

  /** Servers with the numbers from first to last. */
  static List<Long> ids(long first, long last) {
    List<Long> ids = new ArrayList<>();
    for (long id = first; id <= last; id++) {
      ids.add(id);
    }
    return ids;
  }

  private void answerProbe(long id) {
    boolean lost = random.nextDouble() < probeLoss;
    HealthCheckResult[] bad = {
      HealthCheckResult.ERROR,
      HealthCheckResult.REJECTED,
      HealthCheckResult.TIMED_OUT,
      HealthCheckResult.UNREACHABLE,
      HealthCheckResult.DISCONNECTED,
      HealthCheckResult.OTHER
    };
    HealthCheckResult end = lost ? bad[random.nextInt(bad.length)] : HealthCheckResult.OK;
    float busy = (float) (utilization + random.nextDouble() * 0.1);
    long tookUs = 5000L + random.nextInt(40_000);
    schedule(
        tookUs, () -> policy.onHealthCheckResult(now(), id, end, tookUs, new float[] {3, busy}));
  }

  // Proxies.

  void join(int proxy, int zone, boolean fresh) {
    proxies.put(proxy, zone);
    orders.bound.remove(proxy);
    policy.onProxyJoined(now(), proxy, zone, requestsPerS, fresh);
  }

  /** Proxies with consecutive numbers join, in turn in the first zones. */
  void joinAll(int first, int count, int overZones, boolean fresh) {
    for (int proxy = first; proxy < first + count; proxy++) {
      join(proxy, proxy % overZones, fresh);
    }
  }

  void leave(int proxy) {
    proxies.remove(proxy);
    orders.bound.remove(proxy);
    policy.onProxyLeft(now(), proxy);
  }

  private void sendMessages(int mark) {
    long orderedUs = elapsedUs;
    proxies
        .keySet()
        .forEach(
            proxy -> {
              int lines = linesFor(proxy);
              if (lines == 0) {
                return;
              }
              double pace = settings.channel().linesPerSecond() * channelPace;
              double tookUs = (lines + settings.channel().messageOverheadLines() + 1) / pace * 1e6;
              channelFreeUs = Math.max(channelFreeUs, elapsedUs) + Math.round(tookUs);
              long arrivedUs = channelFreeUs + settings.channel().transitDelayUs();
              if (random.nextDouble() >= acknowledgementLoss) {
                schedule(
                    inBatches(arrivedUs + acknowledgementDelayUs) - elapsedUs,
                    () -> policy.onAcknowledgement(now(), proxy, mark, arrivedUs - orderedUs));
              }
            });
  }

  /**
   * Acknowledgements of different proxies come together, which keeps the number of instants small.
   */
  private static long inBatches(long atUs) {
    return (atUs / ACKNOWLEDGEMENT_BATCH_US + 1) * ACKNOWLEDGEMENT_BATCH_US;
  }

  private int linesFor(int proxy) {
    Integer table = orders.bound.get(proxy);
    if (table == null) {
      return orders.withdrawalsNow;
    }
    int held = orders.tables.getOrDefault(table, Map.of()).size();
    int changes = orders.changesByTable.getOrDefault(table, 0);
    return (orders.boundNow.contains(proxy) ? 1 + held : changes) + orders.withdrawalsNow;
  }

  // Reports.

  private void scheduleReports(int group, long delayUs) {
    schedule(
        delayUs,
        () -> {
          scheduleReports(group, SECOND);
          if (!silent) {
            for (int zone = group; zone < settings.zones(); zone += REPORT_GROUPS) {
              report(zone);
            }
          }
        });
  }

  private void report(int zone) {
    if (!proxies.containsValue(zone)) {
      return;
    }
    Map<Long, Double> table = orders.tables.getOrDefault(zone, Map.of());
    double sum = table.values().stream().mapToDouble(weight -> weight).sum();
    for (Map.Entry<Long, Double> line : table.entrySet()) {
      ServerModel server = servers.get(line.getKey());
      if (server == null) {
        continue;
      }
      long tries =
          Math.round(triesPerZone * line.getValue() / sum * (0.8 + 0.4 * random.nextDouble()));
      if (tries > 0 && !orders.withdrawn.contains(server.id)) {
        double share = Math.min(1, server.failShare + failures);
        long failed = Math.round(tries * share);
        long meanUs =
            Math.round(1000 * server.meanMs * slowdown * (0.9 + 0.2 * random.nextDouble()));
        deliver(server.id, zone, tries, failed, meanUs);
      }
    }
    proxies.forEach(
        (proxy, at) -> {
          for (int grade = 0; at == zone && grade < settings.requestClasses().size(); grade++) {
            long requests = Math.round(requestsPerS * (0.5 + random.nextDouble()));
            policy.onUsageReport(
                now(), proxy, grade, requests, Math.round(requests * failures), SECOND);
          }
        });
  }

  private void deliver(long server, int zone, long tries, long failed, long meanUs) {
    if (reportAgeUs > 0) {
      policy.onLoadReport(
          now(), server, zone, tries, failed, 3 * SECOND, meanUs, new float[0], reportAgeUs);
    } else {
      policy.onLoadReport(now(), server, zone, tries, failed, SECOND, meanUs, new float[0]);
    }
  }
}
