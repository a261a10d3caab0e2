package pearusher.policy;

import static pearusher.policy.PolicyHistory.SECOND;
import static pearusher.policy.PolicyHistory.ids;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Scripts of the recorded histories: settings, a seed and what happens to the deployment. */
final class PolicyScenarios {
  /** A named history. */
  record Scenario(String name, PolicySettings settings, long seed, Consumer<PolicyHistory> script) {
    PolicyHistory play() {
      PolicyHistory history = new PolicyHistory(settings, seed);
      script.accept(history);
      return history;
    }

    @Override
    public String toString() {
      return name;
    }
  }

  private static final long LONG_AGO = 0;
  private static final int RANDOM_EVENTS = 60;

  private PolicyScenarios() {}

  static List<Scenario> all() {
    List<Scenario> all = new ArrayList<>();
    all.add(
        new Scenario("one-zone-one-server", with(s -> s.zones = 1), 1, PolicyScenarios::oneServer));
    all.add(new Scenario("two-zones-ill-servers", with(s -> {}), 2, PolicyScenarios::illServers));
    all.add(
        new Scenario(
            "cross-zone-price", with(s -> s.crossZone = 0.06), 3, PolicyScenarios::crossZonePrice));
    all.add(
        new Scenario(
            "own-zone-joins",
            with(
                s -> {
                  s.zones = 4;
                  s.proxies = 32;
                  s.crossZone = 0.06;
                  s.ownZoneJoins = true;
                }),
            4,
            PolicyScenarios::ownZoneJoins));
    all.add(
        new Scenario(
            "overload-by-rate",
            with(
                s -> {
                  s.zones = 4;
                  s.classes = 3;
                  s.levels = AdmissionMode.RATE;
                }),
            5,
            PolicyScenarios::overload));
    all.add(
        new Scenario("overload-by-share", with(s -> s.classes = 3), 6, PolicyScenarios::overload));
    all.add(
        new Scenario(
            "overload-without-levels",
            with(
                s -> {
                  s.crossZone = 0.06;
                  s.levels = AdmissionMode.NONE;
                }),
            7,
            PolicyScenarios::overload));
    all.add(
        new Scenario(
            "overload-with-slow-reports",
            with(
                s -> {
                  s.classes = 3;
                  s.intakePerS = 20;
                }),
            29,
            PolicyScenarios::overload));
    all.add(
        new Scenario(
            "probes-of-a-small-fleet",
            with(
                s -> {
                  s.zones = 1;
                  s.probes = true;
                }),
            30,
            PolicyScenarios::probesOfFew));
    all.add(
        new Scenario(
            "probes-tell-utilization",
            with(
                s -> {
                  s.probes = true;
                  s.instances = 2;
                  s.intakePerS = 20;
                }),
            8,
            PolicyScenarios::probes));
    all.add(
        new Scenario(
            "probes-without-utilization",
            with(
                s -> {
                  s.probes = true;
                  s.reportFields = List.of(LoadMetric.QUEUE_LENGTH);
                }),
            9,
            PolicyScenarios::probes));
    all.add(
        new Scenario(
            "message-cap", with(s -> s.messagesMost = 4), 10, PolicyScenarios::messageCap));
    all.add(
        new Scenario(
            "list-on-request",
            with(
                s -> {
                  s.listOnRequest = true;
                  s.peers = true;
                }),
            11,
            PolicyScenarios::listForms));
    all.add(
        new Scenario(
            "rolling-restarts-and-drains",
            with(s -> s.crossZone = 0.06),
            12,
            PolicyScenarios::rollingRestarts));
    all.add(
        new Scenario(
            "forgetting-and-released-zones",
            with(s -> s.zones = 6),
            13,
            PolicyScenarios::forgetting));
    all.add(
        new Scenario(
            "growth-in-a-jam",
            with(s -> s.levels = AdmissionMode.RATE),
            14,
            PolicyScenarios::growthInAJam));
    all.add(new Scenario("mostly-cold-servers", with(s -> {}), 33, PolicyScenarios::mostlyCold));
    all.add(
        new Scenario(
            "drains-on-a-busy-channel",
            with(
                s -> {
                  s.linesPerS = 400;
                  s.backlog = 600;
                }),
            34,
            PolicyScenarios::drainsOnABusyChannel));
    all.add(
        new Scenario(
            "restored-in-a-jam",
            with(s -> s.crossZone = 0.06),
            15,
            history -> restored(history, 1, 300)));
    all.add(
        new Scenario(
            "restored-far-scales", with(s -> {}), 16, history -> restored(history, 1000, 60)));
    all.add(
        new Scenario(
            "restored-scale-near-limit",
            with(s -> {}),
            28,
            history -> restored(history, 105, 141)));
    all.add(
        new Scenario(
            "join-surge", with(s -> s.proxies = 300), 17, history -> joinSurge(history, 40)));
    all.add(
        new Scenario(
            "join-surge-message-cap",
            with(
                s -> {
                  s.proxies = 200;
                  s.messagesMost = 6;
                  s.linesPerS = 2000;
                  s.backlog = 3000;
                }),
            18,
            history -> joinSurge(history, 12)));
    all.add(
        new Scenario(
            "more-servers-than-a-bind-carries",
            with(
                s -> {
                  s.zones = 98;
                  s.crossZone = 0.06;
                  s.linesPerS = 600;
                  s.backlog = 900;
                  s.proxies = 12;
                }),
            19,
            PolicyScenarios::limitedScope));
    all.add(
        new Scenario(
            "own-zones-fill-the-scope",
            with(
                s -> {
                  s.zones = 4;
                  s.linesPerS = 600;
                  s.backlog = 900;
                }),
            31,
            PolicyScenarios::limitedScopeOfFewZones));
    all.add(
        new Scenario(
            "small-backlog",
            with(
                s -> {
                  s.linesPerS = 600;
                  s.backlog = 300;
                }),
            32,
            PolicyScenarios::smallBacklog));
    all.add(
        new Scenario(
            "silence-late-reports-lost-answers", with(s -> {}), 20, PolicyScenarios::silence));
    all.add(new Scenario("clock-steps", with(s -> {}), 21, PolicyScenarios::clockSteps));
    all.add(new Scenario("slices", with(s -> s.slices = 4), 22, PolicyScenarios::slices));
    all.add(
        new Scenario(
            "starts-without-servers",
            with(s -> s.crossZone = 0.06),
            26,
            PolicyScenarios::withoutServers));
    all.add(
        new Scenario(
            "unknown-numbers", with(s -> s.probes = true), 27, PolicyScenarios::unknownNumbers));
    all.add(
        new Scenario("random-small", with(s -> s.zones = 4), 23, PolicyScenarios::randomEvents));
    all.add(
        new Scenario(
            "random-priced",
            with(
                s -> {
                  s.zones = 3;
                  s.classes = 3;
                  s.crossZone = 0.06;
                  s.levels = AdmissionMode.RATE;
                  s.probes = true;
                  s.listOnRequest = true;
                }),
            24,
            PolicyScenarios::randomEvents));
    all.add(
        new Scenario(
            "random-narrow",
            with(
                s -> {
                  s.linesPerS = 150;
                  s.backlog = 225;
                  s.messagesMost = 8;
                }),
            25,
            PolicyScenarios::randomEvents));
    return all;
  }

  private static PolicySettings with(Consumer<HistorySettings> change) {
    HistorySettings settings = new HistorySettings();
    change.accept(settings);
    return settings.build();
  }

  /** Lists long-running servers, lets fresh proxies join, and ends the first instant. */
  private static void start(PolicyHistory history, int servers, int zonesHere, int proxies) {
    history.addServers(1, servers, history.settings.zones(), LONG_AGO);
    history.list(ListUpdateKind.CACHED);
    history.joinAll(0, proxies, zonesHere, true);
    history.close();
  }

  private static void oneServer(PolicyHistory history) {
    start(history, 1, 1, 2);
    history.run(5);
    history.change(Lifecycle.DRAINING, ids(1, 1));
    history.close();
    history.run(3);
    history.change(Lifecycle.REMOVED, ids(1, 1));
    history.close();
    history.run(2.5);
    history.addServers(2, 1, 1, history.now());
    history.listChanges(ids(2, 2));
    history.close();
    history.run(15);
    history.leave(0);
    history.leave(1);
    history.close();
    history.run(4);
    history.join(2, 0, true);
    history.close();
    history.run(4);
  }

  private static void illServers(PolicyHistory history) {
    start(history, 20, 2, 8);
    history.run(8);
    history.servers.get(3L).failShare = 1;
    history.servers.get(4L).meanMs = 900;
    history.servers.get(5L).failShare = 0.3;
    history.servers.get(6L).meanMs = 3000;
    history.servers.get(6L).failShare = 0.6;
    history.servers.get(7L).listedWeight = 3;
    history.servers.get(8L).listedWeight = 0;
    history.listChanges(ids(7, 8));
    history.close();
    history.run(25);
    history
        .servers
        .values()
        .forEach(
            server -> {
              server.failShare = 0;
              server.meanMs = 150;
            });
    history.run(40);
  }

  private static void crossZonePrice(PolicyHistory history) {
    start(history, 24, 2, 24);
    history.run(20);
    setZone(history, 1, 700, 0.05);
    history.run(12);
    setZone(history, 1, 120, 0);
    history.run(15);
    for (int proxy = 1; proxy < 20; proxy += 2) {
      history.leave(proxy);
    }
    history.close();
    history.run(8);
  }

  private static void setZone(PolicyHistory history, int zone, double meanMs, double failShare) {
    history.servers.values().stream()
        .filter(server -> server.zone == zone)
        .forEach(
            server -> {
              server.meanMs = meanMs;
              server.failShare = failShare;
            });
  }

  private static void ownZoneJoins(PolicyHistory history) {
    start(history, 40, 1, 8);
    history.run(20);
    history.joinAll(8, 6, 4, true);
    history.close();
    history.run(12);
  }

  private static void overload(PolicyHistory history) {
    start(history, 16, history.settings.zones(), 8);
    history.run(10);
    history.slowdown = 4;
    history.failures = 0.4;
    history.requestsPerS = 40;
    history.run(8);
    history.failures = 0.2;
    history.run(6);
    history.slowdown = 1.5;
    history.failures = 0.05;
    history.run(10);
    history.slowdown = 5;
    history.run(6);
    history.slowdown = 1;
    history.failures = 0;
    history.requestsPerS = 10;
    history.run(35);
  }

  private static void probes(PolicyHistory history) {
    start(history, 20, 2, 8);
    history.addServers(21, 2, 2, history.now());
    history.listChanges(ids(21, 22));
    history.run(10);
    history.utilization = 0.95;
    history.slowdown = 3;
    history.failures = 0.3;
    history.run(12);
    history.change(Lifecycle.DRAINING, ids(1, 5));
    history.close();
    history.run(4);
    history.utilization = 0.75;
    history.run(6);
    history.utilization = 0.3;
    history.slowdown = 1;
    history.failures = 0;
    history.run(20);
  }

  private static void probesOfFew(PolicyHistory history) {
    history.utilization = 0.9;
    history.probeLoss = 0;
    start(history, 4, 1, 4);
    history.run(6);
    history.probeLoss = 0.3;
    history.slowdown = 3;
    history.failures = 0.3;
    history.run(8);
    history.utilization = 0.5;
    history.run(12);
  }

  private static void messageCap(PolicyHistory history) {
    start(history, 30, 2, 8);
    for (int round = 0; round < 6; round++) {
      history.servers.get(1L + round).meanMs = 800;
      history.servers.get(10L + round).failShare = 0.8;
      history.slowdown = round % 2 == 0 ? 1 : 3;
      history.change(Lifecycle.DRAINING, ids(20 + round, 20 + round));
      history.close();
      history.run(6);
    }
  }

  private static void listForms(PolicyHistory history) {
    history.listUnavailable = true;
    start(history, 12, 2, 6);
    history.run(12);
    history.listUnavailable = false;
    history.run(15);
    history.servers.remove(12L);
    history.list(ListUpdateKind.COMPLETE);
    history.close();
    history.run(3);
    for (int repeat = 0; repeat < 12; repeat++) {
      history.list(ListUpdateKind.FAILED);
    }
    history.close();
    history.policy.onPeerMessage(history.now(), 1, new byte[] {1, 2, 3});
    history.run(20);
    history.addServers(30, 2, 5, history.now());
    history.list(ListUpdateKind.CACHED);
    history.close();
    history.run(5);
  }

  private static void rollingRestarts(PolicyHistory history) {
    start(history, 18, 2, 10);
    history.run(6);
    for (long first = 1; first <= 18; first += 3) {
      List<Long> batch = ids(first, first + 2);
      history.change(Lifecycle.DRAINING, batch);
      history.close();
      history.run(1.2);
      history.change(Lifecycle.REMOVED, batch);
      history.close();
      history.run(1.5);
      history.restart(batch);
      history.close();
      history.run(4);
    }
    history.restart(ids(4, 8));
    history.close();
    history.change(Lifecycle.DRAINING, ids(1, 2));
    history.change(Lifecycle.READY, ids(1, 2));
    history.close();
    history.run(12);
  }

  private static void forgetting(PolicyHistory history) {
    start(history, 24, 6, 12);
    history.run(6);
    history.change(Lifecycle.REMOVED, ids(1, 4));
    for (int proxy = 0; proxy < 12; proxy++) {
      if (proxy % 6 > 2) {
        history.leave(proxy);
      }
    }
    history.close();
    history.run(70);
    history.addServers(1, 2, 6, history.now());
    history.addServers(40, 2, 6, history.now());
    history.listChanges(List.of(1L, 2L, 40L, 41L));
    history.joinAll(20, 6, 6, false);
    history.close();
    history.run(10);
  }

  /** New servers come in waves while a part of all tries fails and reports stop for a while. */
  private static void growthInAJam(PolicyHistory history) {
    start(history, 10, 2, 8);
    history.run(5);
    history.slowdown = 3;
    history.failures = 0.6;
    history.run(4);
    double[] failures = {0.5, 0.3, 0.12, 0.08, 0.04};
    for (int wave = 0; wave < failures.length; wave++) {
      history.failures = failures[wave];
      history.slowdown = 1 + wave % 2;
      long first = 11L + 6L * wave;
      history.addServers(first, 6, 2, history.now());
      history.listChanges(ids(first, first + 5));
      history.close();
      history.run(2.7);
      history.silent = true;
      history.run(1 + wave * 0.6);
      history.silent = false;
      history.run(2.3);
    }
    history.failures = 0;
    history.run(8);
  }

  /**
   * Few warm servers, many cold ones, failures, and reports that stop for times drawn at random.
   */
  private static void mostlyCold(PolicyHistory history) {
    start(history, 2, 2, 8);
    history.run(4);
    history.failures = 0.3;
    history.addServers(3, 40, 2, history.now());
    history.listChanges(ids(3, 42));
    history.close();
    for (int pause = 0; pause < 10; pause++) {
      history.run(1 + history.random.nextDouble());
      history.silent = true;
      history.run(1 + 2 * history.random.nextDouble());
      history.silent = false;
      history.failures = 0.05 * (pause % 3);
      history.restart(ids(3 + 4 * pause, 6 + 4 * pause));
      history.close();
    }
  }

  /**
   * Servers drain and return one after the other while the weights of others change all the time.
   */
  private static void drainsOnABusyChannel(PolicyHistory history) {
    start(history, 30, 2, 8);
    history.run(6);
    for (int change = 0; change < 80; change++) {
      long id = 1L + history.random.nextInt(30);
      boolean ready = history.servers.get(id).state == Lifecycle.READY;
      history.change(ready ? Lifecycle.DRAINING : Lifecycle.READY, List.of(id));
      long other = 1L + history.random.nextInt(30);
      history.servers.get(other).meanMs = 60 + history.random.nextInt(800);
      history.close();
      history.run(0.1 + history.random.nextDouble() / 2);
    }
  }

  /** A process starts with tables, levels and proxies of an earlier one. */
  private static void restored(PolicyHistory history, double scale, double triesPerZone) {
    history.triesPerZone = triesPerZone;
    history.addServers(1, 16, 2, LONG_AGO);
    history.list(ListUpdateKind.CACHED);
    for (int zone = 0; zone < 2; zone++) {
      Map<Long, Double> weights = new TreeMap<>();
      for (long id = 1; id <= 18; id++) {
        double spread = id == 5 ? 20 : id == 6 ? 0.05 : 1;
        double weight = spread * (0.5 + history.random.nextDouble()) / 16;
        weights.put(id, zone == 0 ? weight * scale : weight / scale);
      }
      history.orders.tables.put(zone, new TreeMap<>(weights));
      history.policy.onTableRestored(
          history.now(), zone, weights, new double[] {0.4, 1}, new int[] {0, zone - 1}, 70);
    }
    history.policy.onTableRestored(
        history.now(), 7, Map.of(1L, 1.0), new double[] {1, 1}, new int[] {1, 1}, 70);
    history.joinAll(0, 10, 2, false);
    history.joinAll(10, 4, 2, true);
    for (int proxy = 0; proxy < 8; proxy++) {
      history.policy.onTableHeld(history.now(), proxy, proxy < 6 ? proxy % 2 : 9, proxy);
    }
    history.failures = 0.3;
    history.slowdown = 3;
    history.close();
    history.change(Lifecycle.DRAINING, ids(3, 4));
    history.close();
    history.run(3.1);
    history.join(20, 0, false);
    history.close();
    history.run(5);
    history.failures = 0;
    history.slowdown = 1;
    history.run(20);
  }

  private static void joinSurge(PolicyHistory history, int servers) {
    start(history, servers, 2, 6);
    history.run(5);
    history.joinAll(6, history.settings.proxies() - 6, 2, false);
    history.change(Lifecycle.DRAINING, ids(1, 2));
    history.close();
    history.run(1.5);
    history.change(Lifecycle.DRAINING, ids(3, 10));
    history.close();
    history.run(3);
    history.restart(ids(1, 4));
    history.addServers(servers + 1, 6, 2, history.now());
    history.listChanges(ids(servers + 1, servers + 6));
    history.close();
    history.run(12);
  }

  private static void limitedScope(PolicyHistory history) {
    start(history, 392, 6, 12);
    history.run(10);
    history.change(Lifecycle.DRAINING, ids(1, 60));
    history.close();
    history.run(8);
    history.change(Lifecycle.REMOVED, ids(1, 30));
    history.change(Lifecycle.READY, ids(31, 60));
    history.joinAll(12, 4, 98, false);
    history.leave(3);
    history.leave(9);
    history.close();
    history.run(10);
    history.addServers(500, 60, 98, history.now());
    history.listChanges(ids(500, 559));
    history.join(20, 90, true);
    history.close();
    history.run(10);
  }

  private static void limitedScopeOfFewZones(PolicyHistory history) {
    start(history, 400, 2, 4);
    history.run(8);
    history.change(Lifecycle.DRAINING, ids(1, 200));
    history.close();
    history.run(6);
    history.join(10, 2, true);
    history.close();
    history.run(6);
  }

  /** Drains and returns of more and more servers at once on a channel that holds few lines. */
  private static void smallBacklog(PolicyHistory history) {
    start(history, 24, 2, 8);
    history.run(6);
    for (int count = 1; count <= 12; count += 2) {
      history.change(Lifecycle.DRAINING, ids(1, count));
      history.close();
      history.run(0.7);
      history.servers.get(13L + count).meanMs = 900;
      history.restart(ids(1, count));
      history.close();
      history.run(1.6);
    }
    history.run(6);
  }

  private static void silence(PolicyHistory history) {
    start(history, 14, 2, 6);
    history.run(6);
    history.silent = true;
    history.run(8);
    history.silent = false;
    history.reportAgeUs = 4 * SECOND;
    history.run(8);
    history.reportAgeUs = 0;
    history.acknowledgementLoss = 1;
    history.channelPace = 0.2;
    for (long id = 1; id <= 6; id++) {
      history.change(Lifecycle.DRAINING, ids(id, id));
      history.close();
      history.run(1);
    }
    history.acknowledgementLoss = 0.3;
    history.acknowledgementDelayUs = 700_000;
    history.change(Lifecycle.READY, ids(1, 6));
    history.close();
    history.run(10);
    history.acknowledgementLoss = 0;
    history.acknowledgementDelayUs = 0;
    history.channelPace = 1;
    history.joinAll(20, 20, 2, true);
    history.close();
    history.run(10);
  }

  private static void clockSteps(PolicyHistory history) {
    start(history, 14, 2, 6);
    history.run(6);
    history.stepClock(-5 * SECOND);
    history.restart(ids(1, 2));
    history.close();
    history.run(6);
    history.stepClock(100 * SECOND);
    history.change(Lifecycle.DRAINING, ids(5, 6));
    history.close();
    history.run(6);
    history.stepClock(-300_000);
    history.run(6);
  }

  private static void slices(PolicyHistory history) {
    start(history, 6, 2, 4);
    history.policy.onSliceAssignment(history.now(), 1, true);
    history.policy.onSliceWeight(history.now(), 1, 3, 0.5);
    history.policy.onSliceUsageReport(history.now(), 1, 0, 10, 1, SECOND);
    history.run(3);
  }

  private static void withoutServers(PolicyHistory history) {
    start(history, 0, 2, 4);
    history.run(4);
    history.joinAll(4, 4, 2, false);
    history.close();
    history.run(2);
    history.addServers(1, 8, 1, LONG_AGO);
    history.listChanges(ids(1, 8));
    history.close();
    history.run(6);
    history.change(Lifecycle.REMOVED, ids(1, 8));
    history.close();
    history.run(6);
    history.change(Lifecycle.READY, ids(1, 4));
    history.close();
    history.run(6);
  }

  /**
   * Events that name servers, proxies, zones, classes, marks and timers which the module does not
   * know.
   */
  private static void unknownNumbers(PolicyHistory history) {
    AssignmentPolicy policy = history.policy;
    start(history, 12, 2, 4);
    history.run(3);
    for (int round = 0; round < 4; round++) {
      history.addServers(100 + round, 1, 5, history.now());
      history.servers.get(100L + round).state =
          round % 2 == 0 ? Lifecycle.REMOVED : Lifecycle.DRAINING;
      history.listChanges(ids(100 + round, 100 + round));
      policy.onLoadReport(history.now(), 99, 0, 10, 1, SECOND, 200_000, new float[0]);
      policy.onLoadReport(history.now(), 1, 7, 10, 1, SECOND, 200_000, new float[0]);
      policy.onLoadReport(history.now(), 1, 1, 0, 0, SECOND, 200_000, new float[0]);
      policy.onLoadReport(history.now(), 2, 0, 5, 9, SECOND, 200_000, new float[0]);
      policy.onUsageReport(history.now(), 99, 0, 10, 0, SECOND);
      policy.onUsageReport(history.now(), 1, 7, 10, 0, SECOND);
      policy.onUsageReport(history.now(), 1, 0, 10, 0, 0);
      policy.onHealthCheckResult(history.now(), 99, HealthCheckResult.OK, 1000, new float[] {1, 1});
      policy.onHealthCheckResult(history.now(), 2, HealthCheckResult.OK, 1000, new float[] {1});
      policy.onAcknowledgement(history.now(), 99, 1, 200_000);
      policy.onAcknowledgement(history.now(), 1, 64_000, 200_000);
      policy.onTimer(history.now(), 77);
      policy.onProxyLeft(history.now(), 99);
      history.join(50 + round, 9, false);
      history.close();
      history.run(4);
    }
  }

  /** Events drawn at random, one or more each half second. */
  private static void randomEvents(PolicyHistory history) {
    start(history, 12, history.settings.zones(), 6);
    for (int event = 0; event < RANDOM_EVENTS; event++) {
      randomEvent(history);
      if (history.random.nextInt(3) > 0) {
        history.close();
        history.run(0.5 + history.random.nextInt(3) / 2.0);
      }
    }
    history.run(5);
  }

  private static void randomEvent(PolicyHistory history) {
    long id = 1L + history.random.nextInt(history.servers.size());
    PolicyHistory.ServerModel server = history.servers.get(id);
    switch (history.random.nextInt(16)) {
      case 0, 1 -> history.change(Lifecycle.DRAINING, List.of(id));
      case 2 -> history.change(Lifecycle.REMOVED, List.of(id));
      case 3, 4 -> history.change(Lifecycle.READY, List.of(id));
      case 5 -> history.restart(List.of(id));
      case 6 -> {
        long next = history.servers.size() + 1L;
        history.addServers(next, 2, history.settings.zones(), history.now());
        history.listChanges(ids(next, next + 1));
      }
      case 7, 8 -> {
        int proxy = history.random.nextInt(40);
        if (!history.proxies.containsKey(proxy)) {
          history.join(proxy, proxy % history.settings.zones(), history.random.nextBoolean());
        }
      }
      case 9 ->
          history.proxies.keySet().stream()
              .skip(history.random.nextInt(6))
              .findFirst()
              .ifPresent(history::leave);
      case 10 -> server.meanMs = 100 + history.random.nextInt(1500);
      case 11 -> server.failShare = history.random.nextDouble();
      case 12 -> {
        history.slowdown = 1 + history.random.nextInt(3);
        history.failures = history.random.nextInt(4) / 10.0;
      }
      case 13 -> history.acknowledgementLoss = history.random.nextDouble() / 2;
      case 14 -> history.silent = !history.silent && history.random.nextBoolean();
      default -> history.list(randomForm(history));
    }
  }

  private static ListUpdateKind randomForm(PolicyHistory history) {
    return Arrays.asList(
            ListUpdateKind.COMPLETE,
            ListUpdateKind.CACHED,
            ListUpdateKind.FAILED,
            ListUpdateKind.DELTA)
        .get(history.random.nextInt(4));
  }
}
