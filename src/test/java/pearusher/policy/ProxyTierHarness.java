package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

/**
 * Harness that runs a policy with a model of its channel and proxies, in ticks of 0.1 s. It tracks
 * the servers that each proxy may use: those of its table, or of the old table that it has until it
 * is bound, without the ejected ones.
 */
final class ProxyTierHarness {
  static final long TICK_US = PolicyFixture.SECOND_US / 10;

  /** Default rate of the channel, and the longest transit time to a proxy after the backlog. */
  static final double LINES_PER_SECOND = 3000;

  static final double TRANSIT_S = 0.5;

  /** Drain grace period of 2 s, plus a tolerance of 0.3 s. */
  static final double DRAIN_GRACE_WITH_TOLERANCE_S = 2.3;

  final PolicyFixture fixture;
  final RecordingCommands commands;
  private final double linesPerSecond;
  ChannelModel channel;

  /** Zones of the joined proxies, by proxy. */
  final Map<Integer, Integer> zoneByProxy = new TreeMap<>();

  /** Servers of the tables that unbound proxies have from an earlier stream, by proxy. */
  private final Map<Integer, Set<Long>> oldTableServers = new HashMap<>();

  /** Numbers of all tables that were ever cleared. */
  final Set<Integer> clearedTables = new HashSet<>();

  /** Commands of the last batch. */
  final List<RecordedCommand> lastCommands = new ArrayList<>();

  /** Check that runs after each batch. */
  Runnable invariant = () -> {};

  private int tickCount;

  ProxyTierHarness(PolicySettings settings) {
    this(settings, LINES_PER_SECOND);
  }

  ProxyTierHarness(PolicySettings settings, double linesPerSecond) {
    this.linesPerSecond = linesPerSecond;
    fixture = new PolicyFixture(settings);
    commands = fixture.commands;
    fixture.attemptsPerZone = 3000;
  }

  /**
   * Returns a started harness with one request class, whose backlog and tables are checked after
   * each batch.
   */
  static ProxyTierHarness started(
      int zones, int fleetProxies, int servers, int zonesWithProxies, int proxiesPerZone) {
    ProxyTierHarness harness = new ProxyTierHarness(settings(zones, fleetProxies).build());
    harness.invariant = harness::assertBacklogAndTables;
    return harness.start(
        TestServers.readyServers(servers, zones), zonesWithProxies, proxiesPerZone);
  }

  static PolicySettingsBuilder settings(int zones, int fleetProxies) {
    return new PolicySettingsBuilder().idempotentRequestsOnly().zones(zones).proxies(fleetProxies);
  }

  /** Returns the servers with these numbers, both included. */
  static Set<Long> servers(long first, long last) {
    return LongStream.rangeClosed(first, last)
        .boxed()
        .collect(Collectors.toCollection(TreeSet::new));
  }

  static Set<Long> without(Set<Long> servers, Set<Long> excluded) {
    Set<Long> rest = new TreeSet<>(servers);
    rest.removeAll(excluded);
    return rest;
  }

  /**
   * Returns whether a command sets a weight in a table of this zone: the zone's own or that of a
   * subset.
   */
  static boolean setsWeightInZone(RecordedCommand command, int zone, int zones) {
    return command instanceof RecordedCommand.SetWeight weight && weight.table() % zones == zone;
  }

  /** Starts the policy with these servers, and with proxies without tables in the first zones. */
  ProxyTierHarness start(List<ServerEntry> servers, int zonesWithProxies, int proxiesPerZone) {
    fixture.sendEndpointList(ListUpdateKind.CACHED, servers);
    for (int proxy = 0; proxy < zonesWithProxies * proxiesPerZone; proxy++) {
      join(proxy, proxy % zonesWithProxies);
    }
    channel = new ChannelModel(fixture, linesPerSecond, 200_000);
    endBatch();
    return this;
  }

  void join(int proxy, int zone) {
    joinWithTable(proxy, zone, Set.of());
  }

  /** Joins a proxy that has a table of these servers from an earlier stream; none if empty. */
  void joinWithTable(int proxy, int zone, Set<Long> table) {
    zoneByProxy.put(proxy, zone);
    oldTableServers.put(proxy, new HashSet<>(table));
    commands.tableByProxy.remove(proxy);
    fixture.join(proxy, zone, table.isEmpty());
  }

  void leave(int proxy) {
    zoneByProxy.remove(proxy);
    oldTableServers.remove(proxy);
    fixture.leave(proxy);
  }

  void leaveZone(int zone) {
    List.copyOf(zoneByProxy.keySet()).stream()
        .filter(proxy -> zoneByProxy.get(proxy) == zone)
        .forEach(this::leave);
  }

  void updateEndpoints(List<ServerEntry> changes) {
    fixture.sendEndpointList(ListUpdateKind.DELTA, changes);
  }

  /** Sends a list update with this lifecycle state of some servers. */
  void changeLifecycle(Set<Long> servers, Lifecycle state) {
    updateEndpoints(
        servers.stream()
            .map(id -> TestServers.serverIn(id, (int) (id % fixture.settings.zones()), state))
            .toList());
  }

  /** Ends the batch, and applies its commands to the proxies and the channel. */
  void endBatch() {
    fixture.fireTimer(PolicyFixture.CONTROL_PERIOD_TIMER);
    fixture.fireTimer(PolicyFixture.PACING_TIMER);
    fixture.endBatch();
    lastCommands.clear();
    lastCommands.addAll(commands.issued);
    for (RecordedCommand command : lastCommands) {
      apply(command);
    }
    channel.send();
    invariant.run();
  }

  private void apply(RecordedCommand command) {
    if (command instanceof RecordedCommand.BindProxy bind) {
      oldTableServers.remove(bind.proxy());
    } else if (command instanceof RecordedCommand.ClearTable clear) {
      clearedTables.add(clear.table());
    } else if (command instanceof RecordedCommand.Eject eject) {
      oldTableServers.values().forEach(table -> table.remove(eject.server()));
    } else if (command instanceof RecordedCommand.Reinstate reinstate) {
      oldTableServers.values().forEach(table -> table.remove(reinstate.server()));
    }
  }

  void runTick() {
    runTick(TICK_US, ++tickCount % 10 == 0);
  }

  private void runTick(long elapsedUs, boolean reports) {
    fixture.advance(elapsedUs);
    channel.deliverAcks();
    if (reports) {
      fixture.deliverReports();
    }
    endBatch();
  }

  ProxyTierHarness runTicks(int count) {
    for (int i = 0; i < count; i++) {
      runTick();
    }
    return this;
  }

  /** Runs steps of 1 s, each with one report. */
  ProxyTierHarness runSeconds(int count) {
    return runSteps(count, 1);
  }

  /** Runs steps of several seconds, each with one report. */
  ProxyTierHarness runSteps(int count, int seconds) {
    for (int i = 0; i < count; i++) {
      runTick(seconds * PolicyFixture.SECOND_US, true);
    }
    return this;
  }

  /**
   * Runs until the condition is met, and fails after the limit.
   *
   * @return time until the last message sent by then arrives, in seconds
   */
  double runUntil(String description, double limitS, BooleanSupplier condition) {
    long from = fixture.nowUs;
    while (!condition.getAsBoolean()) {
      assertTrue(
          (fixture.nowUs - from) / 1e6 < limitS, description + ": not within " + limitS + " s");
      runTick();
    }
    return (fixture.nowUs - from) / 1e6 + channel.backlogLines() / linesPerSecond + TRANSIT_S;
  }

  /** Returns the servers that a proxy may use after all messages have arrived. */
  Set<Long> usableServers(int proxy) {
    Integer table = commands.tableByProxy.get(proxy);
    Set<Long> usable =
        table == null
            ? new TreeSet<>(oldTableServers.get(proxy))
            : new TreeSet<>(commands.weightsByTable.getOrDefault(table, Map.of()).keySet());
    if (table != null) {
      usable.removeAll(commands.ejected);
    }
    return usable;
  }

  boolean isAnyUsed(Set<Long> servers) {
    Set<Long> notEjected = new TreeSet<>(servers);
    notEjected.removeAll(commands.ejected);
    return oldTableServers.values().stream()
            .anyMatch(table -> servers.stream().anyMatch(table::contains))
        || new TreeSet<>(commands.tableByProxy.values())
            .stream()
                .anyMatch(
                    table ->
                        notEjected.stream()
                            .anyMatch(commands.weightsByTable.get(table)::containsKey));
  }

  boolean areAllBound() {
    return commands.tableByProxy.keySet().containsAll(zoneByProxy.keySet());
  }

  Set<Long> listedServers(int zone) {
    return new TreeSet<>(commands.weightsByTable.getOrDefault(zone, Map.of()).keySet());
  }

  /**
   * Asserts that the backlog is within its limit, and that each table in use has a server that is
   * not ejected.
   */
  void assertBacklogAndTables() {
    assertTrue(
        channel.backlogLines() <= fixture.settings.channel().maxBacklogLines(),
        "backlog lines " + channel.backlogLines());
    new TreeSet<>(commands.tableByProxy.values())
        .forEach(
            table ->
                assertTrue(
                    commands.weightsByTable.get(table).keySet().stream()
                        .anyMatch(id -> !commands.ejected.contains(id)),
                    "table " + table + " has no usable server"));
  }
}
