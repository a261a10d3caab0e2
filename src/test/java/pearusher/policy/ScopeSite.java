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
 * A policy with its channel and its proxies, run in ticks of a tenth of a second. It knows which
 * servers each proxy may use: those of its table, or of the old one that it holds until it is
 * bound, without the ejected ones.
 */
final class ScopeSite {
  static final long TICK_US = PolicyFixture.SECOND_US / 10;

  /** Rate of the channel in the settings, and the longest transit to a proxy after it. */
  static final double LINES_PER_SECOND = 3000;

  static final double TRANSIT_S = 0.5;

  /** The grace of a drain, and a tolerance of 0.3 s. */
  static final double GRACE_S = 2.3;

  final PolicyFixture fixture;
  final RecordingCommands commands;
  private final double linesPerSecond;
  ChannelModel channel;

  /** The zone of each proxy that has joined. */
  final Map<Integer, Integer> zoneByProxy = new TreeMap<>();

  /** Servers of the tables that unbound proxies hold from an earlier stream. */
  private final Map<Integer, Set<Long>> heldServers = new HashMap<>();

  /** All tables that were ever cleared. */
  final Set<Integer> clearedTables = new HashSet<>();

  /** Commands of the last batch. */
  final List<RecordedCommand> lastCommands = new ArrayList<>();

  /** A check after each batch. */
  Runnable invariant = () -> {};

  private int tickCount;

  ScopeSite(PolicySettings settings) {
    this(settings, LINES_PER_SECOND);
  }

  ScopeSite(PolicySettings settings, double linesPerSecond) {
    this.linesPerSecond = linesPerSecond;
    fixture = new PolicyFixture(settings);
    commands = fixture.commands;
    fixture.attemptsPerZone = 3000;
  }

  /** A site whose backlog and tables are checked after each batch, with one request class. */
  static ScopeSite started(
      int zones, int fleetProxies, int servers, int zonesWithProxies, int proxiesPerZone) {
    ScopeSite site = new ScopeSite(settings(zones, fleetProxies).build());
    site.invariant = site::assertBacklogAndTables;
    return site.start(TestServers.readyServers(servers, zones), zonesWithProxies, proxiesPerZone);
  }

  static PolicySettingsBuilder settings(int zones, int fleetProxies) {
    return new PolicySettingsBuilder().idempotentRequestsOnly().zones(zones).proxies(fleetProxies);
  }

  /** The servers with these numbers, both included. */
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

  /** Whether it sets a weight in a table of this zone, be it the zone's own or a subset's. */
  static boolean setsWeightInZone(RecordedCommand command, int zone, int zones) {
    return command instanceof RecordedCommand.SetWeight weight && weight.table() % zones == zone;
  }

  /** Starts with these servers and proxies that hold no table in the first zones. */
  ScopeSite start(List<ServerEntry> servers, int zonesWithProxies, int proxiesPerZone) {
    fixture.sendEndpointList(ListUpdateKind.CACHED, servers);
    for (int proxy = 0; proxy < zonesWithProxies * proxiesPerZone; proxy++) {
      join(proxy, proxy % zonesWithProxies);
    }
    channel = new ChannelModel(fixture, linesPerSecond, 200_000);
    endBatch();
    return this;
  }

  void join(int proxy, int zone) {
    joinHolding(proxy, zone, Set.of());
  }

  /** A proxy that holds a table of these servers from an earlier stream. */
  void joinHolding(int proxy, int zone, Set<Long> table) {
    zoneByProxy.put(proxy, zone);
    heldServers.put(proxy, new HashSet<>(table));
    commands.tableByProxy.remove(proxy);
    fixture.join(proxy, zone, table.isEmpty());
  }

  void leave(int proxy) {
    zoneByProxy.remove(proxy);
    heldServers.remove(proxy);
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

  /** Sends a list update with this state of some servers. */
  void changeLifecycle(Set<Long> servers, Lifecycle state) {
    updateEndpoints(
        servers.stream()
            .map(id -> TestServers.serverIn(id, (int) (id % fixture.settings.zones()), state))
            .toList());
  }

  /** Ends the batch and sends its commands to the channel and the proxies. */
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
      heldServers.remove(bind.proxy());
    } else if (command instanceof RecordedCommand.ClearTable clear) {
      clearedTables.add(clear.table());
    } else if (command instanceof RecordedCommand.Eject eject) {
      heldServers.values().forEach(table -> table.remove(eject.server()));
    } else if (command instanceof RecordedCommand.Reinstate reinstate) {
      heldServers.values().forEach(table -> table.remove(reinstate.server()));
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

  ScopeSite runTicks(int count) {
    for (int i = 0; i < count; i++) {
      runTick();
    }
    return this;
  }

  /** Runs in ticks of a second. */
  ScopeSite runSeconds(int count) {
    return runSteps(count, 1);
  }

  /** Runs in ticks of several seconds, each with one report. */
  ScopeSite runSteps(int count, int seconds) {
    for (int i = 0; i < count; i++) {
      runTick(seconds * PolicyFixture.SECOND_US, true);
    }
    return this;
  }

  /**
   * Runs until the condition holds and fails after the limit.
   *
   * @return seconds until the last message sent by then arrives
   */
  double runUntil(String condition, double limitS, BooleanSupplier holds) {
    long from = fixture.nowUs;
    while (!holds.getAsBoolean()) {
      assertTrue(
          (fixture.nowUs - from) / 1e6 < limitS, condition + ": not within " + limitS + " s");
      runTick();
    }
    return (fixture.nowUs - from) / 1e6 + channel.backlogLines() / linesPerSecond + TRANSIT_S;
  }

  /** The servers that a proxy may use as soon as all messages have arrived. */
  Set<Long> usableServers(int proxy) {
    Integer table = commands.tableByProxy.get(proxy);
    Set<Long> usable =
        table == null
            ? new TreeSet<>(heldServers.get(proxy))
            : new TreeSet<>(commands.weightsByTable.getOrDefault(table, Map.of()).keySet());
    if (table != null) {
      usable.removeAll(commands.ejected);
    }
    return usable;
  }

  boolean isAnyUsed(Set<Long> servers) {
    Set<Long> notEjected = new TreeSet<>(servers);
    notEjected.removeAll(commands.ejected);
    return heldServers.values().stream()
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

  /** The backlog is within its limit, and each table in use has a server that is not ejected. */
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
