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

/**
 * One instance beside its channel and its proxies, played in tenths of a second. It knows of every
 * proxy which servers it may use: those of its table, or of the old one that it holds until it is
 * bound, but for the withdrawals that it has heard.
 */
final class ScopeSite {
  static final long TICK = RecordingCommands.S / 10;

  /** Lines a second of the settings' channel, and the longest way to a proxy behind it. */
  static final double PACE = 3000;

  static final double ON_THE_WAY_S = 0.5;

  /** The grace of a drain, and what the tests of the rules allow beside it. */
  static final double GRACE_S = 2.3;

  final PolicyFixture play;
  final RecordingCommands fleet;
  private final double pace;
  ChannelModel channel;

  /** Each proxy's zone; what unbound ones hold of an earlier stream; tables ever cleared. */
  final Map<Integer, Integer> zones = new TreeMap<>();

  private final Map<Integer, Set<Long>> held = new HashMap<>();
  final Set<Integer> cleared = new HashSet<>();

  /** The last reply's orders. */
  final List<String> orders = new ArrayList<>();

  /** What must hold after each reply. */
  Runnable invariant = () -> {};

  private int ticks;

  ScopeSite(PolicySettings settings) {
    this(settings, PACE);
  }

  ScopeSite(PolicySettings settings, double pace) {
    this.pace = pace;
    play = new PolicyFixture(settings);
    fleet = play.fleet;
    play.triesPerZone = 3000;
  }

  /**
   * Starts with these servers, and so many proxies for each of the first zones that hold no table.
   */
  ScopeSite start(List<ServerEntry> servers, int zonesHere, int proxiesEach) {
    play.rules.onEndpointList(play.now, ListUpdateKind.CACHED, servers);
    for (int proxy = 0; proxy < zonesHere * proxiesEach; proxy++) {
      join(proxy, proxy % zonesHere);
    }
    channel = new ChannelModel(play, pace, 200_000);
    reply();
    return this;
  }

  void join(int proxy, int zone) {
    joinHolding(proxy, zone, Set.of());
  }

  /** A proxy that holds a table of these servers from an earlier stream. */
  void joinHolding(int proxy, int zone, Set<Long> table) {
    zones.put(proxy, zone);
    held.put(proxy, new HashSet<>(table));
    fleet.bound.remove(proxy);
    play.join(proxy, zone, table.isEmpty());
  }

  void leave(int proxy) {
    zones.remove(proxy);
    held.remove(proxy);
    play.leave(proxy);
  }

  void leaveZone(int zone) {
    List.copyOf(zones.keySet()).stream()
        .filter(proxy -> zones.get(proxy) == zone)
        .forEach(this::leave);
  }

  void list(List<ServerEntry> changes) {
    play.rules.onEndpointList(play.now, ListUpdateKind.DELTA, changes);
  }

  /** These servers drain or are gone, as the state says. */
  void state(Set<Long> servers, Lifecycle state) {
    list(
        servers.stream()
            .map(id -> RecordingCommands.state(id, (int) (id % play.set.zones()), state))
            .toList());
  }

  /** The end of an instant: what was ordered goes to the channel and to the proxies. */
  void reply() {
    play.rules.onTimer(play.now, 1);
    play.rules.onTimer(play.now, 3);
    play.rules.onBatchEnd(play.now);
    orders.clear();
    orders.addAll(fleet.orders);
    for (String order : orders) {
      String[] words = order.split(" ");
      switch (words[0]) {
        case "bind" -> held.remove(Integer.valueOf(words[1]));
        case "clear" -> cleared.add(Integer.valueOf(words[1]));
        case "withdraw" -> held.values().forEach(table -> table.remove(Long.valueOf(words[1])));
        default -> {}
      }
    }
    channel.put();
    invariant.run();
  }

  void tick() {
    tick(TICK, ++ticks % 10 == 0);
  }

  private void tick(long us, boolean reports) {
    play.step(us);
    channel.answer();
    if (reports) {
      play.reports();
    }
    reply();
  }

  ScopeSite ticks(int n) {
    for (int i = 0; i < n; i++) {
      tick();
    }
    return this;
  }

  /** The same in steps of a second. */
  ScopeSite seconds(int n) {
    return passes(n, 1);
  }

  /** The same in steps of so many seconds. */
  ScopeSite passes(int n, int seconds) {
    for (int i = 0; i < n; i++) {
      tick(seconds * RecordingCommands.S, true);
    }
    return this;
  }

  /**
   * Plays on until it holds; a failure after so many seconds. Tells when the last word of it
   * arrives.
   */
  double until(String what, double mostS, BooleanSupplier holds) {
    long from = play.now;
    while (!holds.getAsBoolean()) {
      assertTrue((play.now - from) / 1e6 < mostS, what + ": not within " + mostS + " s");
      tick();
    }
    return (play.now - from) / 1e6 + channel.waiting() / pace + ON_THE_WAY_S;
  }

  /** The servers that a proxy may use as soon as all that was ordered has reached it. */
  Set<Long> uses(int proxy) {
    Integer table = fleet.bound.get(proxy);
    Set<Long> uses =
        table == null
            ? new TreeSet<>(held.get(proxy))
            : new TreeSet<>(fleet.tables.getOrDefault(table, Map.of()).keySet());
    if (table != null) {
      uses.removeAll(fleet.withdrawn);
    }
    return uses;
  }

  boolean someoneUses(Set<Long> servers) {
    Set<Long> open = new TreeSet<>(servers);
    open.removeAll(fleet.withdrawn);
    return held.values().stream().anyMatch(table -> servers.stream().anyMatch(table::contains))
        || new TreeSet<>(fleet.bound.values())
            .stream()
                .anyMatch(table -> open.stream().anyMatch(fleet.tables.get(table)::containsKey));
  }

  boolean allBound() {
    return fleet.bound.keySet().containsAll(zones.keySet());
  }

  Set<Long> table(int zone) {
    return new TreeSet<>(fleet.tables.getOrDefault(zone, Map.of()).keySet());
  }

  /** The rules on what waits and on bare proxies. */
  void assertRules() {
    assertTrue(
        channel.waiting() <= play.set.channel().maxBacklogLines(),
        "lines waiting " + channel.waiting());
    new TreeSet<>(fleet.bound.values())
        .forEach(
            table ->
                assertTrue(
                    fleet.tables.get(table).keySet().stream()
                        .anyMatch(id -> !fleet.withdrawn.contains(id)),
                    "table " + table + " is bare"));
  }
}
