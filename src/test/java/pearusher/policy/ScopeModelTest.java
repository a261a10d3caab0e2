package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

/**
 * Random histories under random settings, compared with a simple model that tracks every server and
 * every proxy.
 */
class ScopeModelTest {
  /**
   * 30 drain grace periods, a control period and the tick at its end, after which a zone without
   * proxies has no table.
   */
  private static final long RELEASE_US = 62 * PolicyFixture.SECOND_US;

  /** Ticks without events after which every slow start is over. */
  private static final int MIN_QUIET_TICKS = 110;

  /** Ticks without events after which a slow channel has sent its backlog. */
  private static final int MAX_QUIET_TICKS = 900;

  private static final int STEPS = 45;
  private static final int LINES_PER_PROXY = 50;

  /** Parameters of one history. The channel bounds the size of the fleet. */
  private record RandomParameters(
      int zones,
      int servers,
      double linesPerSecond,
      int maxMessagesPerProxy,
      int fleetProxies,
      long seed) {
    RandomParameters {
      fleetProxies = Math.min(fleetProxies, (int) (linesPerSecond / LINES_PER_PROXY));
    }

    PolicySettings settings() {
      return new PolicySettingsBuilder()
          .seed(seed)
          .zones(zones)
          .crossZoneCost(0.08)
          .maxMessagesPerProxy(maxMessagesPerProxy)
          .proxies(fleetProxies)
          .linesPerSecond(linesPerSecond)
          .maxBacklogLines(1.5 * linesPerSecond)
          .build();
    }
  }

  @Provide
  Arbitrary<RandomParameters> randomParameters() {
    return Combinators.combine(
            Arbitraries.integers().between(1, 40),
            Arbitraries.integers().between(1, 300),
            Arbitraries.of(400.0, 1000.0, 3000.0, 12_000.0),
            Arbitraries.of(0, 0, 20, 60),
            Arbitraries.integers().between(2, 30),
            Arbitraries.longs())
        .as(RandomParameters::new);
  }

  /** One history, with the endpoint list and the time at which each zone last had a proxy. */
  private static final class History {
    private final RandomParameters parameters;
    private final Random random;
    private final ProxyTierHarness harness;
    private final Map<Long, ServerEntry> listedServers = new TreeMap<>();
    private final Map<Integer, Long> lastUsedByZone = new HashMap<>();
    private final int maxEntries;
    private long nextServer = 100_000;
    private int nextProxy = 1000;

    History(RandomParameters parameters) {
      this.parameters = parameters;
      random = new Random(parameters.seed);
      maxEntries = maxEntriesOfABind(parameters.settings());
      harness = new ProxyTierHarness(parameters.settings(), parameters.linesPerSecond);
      TestServers.readyServers(parameters.servers, parameters.zones)
          .forEach(entry -> listedServers.put(entry.server(), entry));
      harness.invariant = this::assertInvariants;
      int zonesWithProxies = 1 + random.nextInt(Math.min(4, parameters.zones));
      int proxiesPerZone =
          1 + random.nextInt(Math.max(1, parameters.fleetProxies / zonesWithProxies));
      harness.start(List.copyOf(listedServers.values()), zonesWithProxies, proxiesPerZone);
    }

    private ServerEntry entry(ServerEntry entry, Lifecycle state, long startedUs) {
      return new ServerEntry(entry.server(), entry.zone(), 0, 0, state, 1, startedUs);
    }

    /**
     * Returns changes of some servers, which drain, are removed, return unchanged, restart, or are
     * new. Each change is of a random kind, or all are of the same kind.
     */
    private List<ServerEntry> randomChanges(int maxChanges, boolean sameKind) {
      List<ServerEntry> changes = new ArrayList<>();
      List<ServerEntry> existing = List.copyOf(listedServers.values());
      int changeKind = random.nextInt(5);
      for (int k = random.nextInt(maxChanges); k > 0; k--) {
        ServerEntry entry = existing.get(random.nextInt(existing.size()));
        long now = harness.fixture.nowUs;
        changes.add(
            switch (sameKind ? changeKind : random.nextInt(5)) {
              case 0 -> entry(entry, Lifecycle.DRAINING, entry.startedUs());
              case 1 -> entry(entry, Lifecycle.REMOVED, entry.startedUs());
              case 2 -> entry(entry, Lifecycle.READY, entry.startedUs());
              case 3 -> entry(entry, Lifecycle.READY, now);
              default ->
                  TestServers.readyServer(++nextServer, random.nextInt(parameters.zones), now);
            });
      }
      return changes;
    }

    private void updateList() {
      boolean many = random.nextInt(4) == 0;
      List<ServerEntry> changes = randomChanges(many ? 2 + 2 * listedServers.size() : 4, many);
      changes.forEach(entry -> listedServers.put(entry.server(), entry));
      if (random.nextInt(5) > 0) {
        harness.updateEndpoints(changes);
        return;
      }
      // A complete list omits removed servers.
      listedServers.values().removeIf(entry -> entry.lifecycle() == Lifecycle.REMOVED);
      harness.fixture.sendEndpointList(
          ListUpdateKind.COMPLETE, List.copyOf(listedServers.values()));
    }

    /** Drains many servers, which return unchanged a little later. */
    private void cancelDrain() {
      List<ServerEntry> draining =
          listedServers.values().stream().filter(entry -> random.nextInt(3) == 0).toList();
      for (Lifecycle state : List.of(Lifecycle.DRAINING, Lifecycle.READY)) {
        List<ServerEntry> changes =
            draining.stream().map(entry -> entry(entry, state, entry.startedUs())).toList();
        changes.forEach(entry -> listedServers.put(entry.server(), entry));
        harness.updateEndpoints(changes);
        harness.endBatch();
        harness.runTicks(random.nextInt(25));
      }
    }

    private void joinOrLeave() {
      if (random.nextBoolean() && !harness.zoneByProxy.isEmpty()) {
        List<Integer> existing = List.copyOf(harness.zoneByProxy.keySet());
        int proxy = existing.get(random.nextInt(existing.size()));
        if (random.nextInt(4) == 0) {
          harness.leaveZone(harness.zoneByProxy.get(proxy));
        } else {
          harness.leave(proxy);
        }
        return;
      }
      int zone = random.nextInt(parameters.zones);
      boolean hasTable = random.nextBoolean();
      for (int k = 1 + random.nextInt(4);
          k > 0 && harness.zoneByProxy.size() < parameters.fleetProxies;
          k--) {
        if (hasTable) {
          harness.joinWithTable(++nextProxy, zone, new HashSet<>(listedServers.keySet()));
        } else {
          harness.join(++nextProxy, zone);
        }
      }
    }

    private void changeLatencies() {
      for (long id : listedServers.keySet()) {
        harness.fixture.latencyMs.put(id, 100 + 200 * random.nextDouble());
      }
    }

    void run(int steps) {
      for (int i = 0; i < steps; i++) {
        switch (random.nextInt(7)) {
          case 0 -> updateList();
          case 1, 2 -> joinOrLeave();
          case 3 -> changeLatencies();
          case 4 -> cancelDrain();
          case 5 -> harness.runSteps(random.nextInt(12), 1);
          default -> harness.runTicks(random.nextInt(25));
        }
        harness.endBatch();
      }
    }

    private Set<Long> readyServers() {
      Set<Long> ids = new TreeSet<>();
      listedServers.values().stream()
          .filter(entry -> entry.lifecycle() == Lifecycle.READY)
          .forEach(entry -> ids.add(entry.server()));
      return ids;
    }

    /** Asserts the invariants after each batch. */
    private void assertInvariants() {
      long now = harness.fixture.nowUs;
      harness.zoneByProxy.values().forEach(zone -> lastUsedByZone.put(zone, now));
      for (RecordedCommand command : harness.lastCommands) {
        OptionalInt table = tableOf(command);
        if (table.isPresent()) {
          int zone = table.getAsInt() % parameters.zones;
          assertTrue(
              now - lastUsedByZone.getOrDefault(zone, Long.MIN_VALUE / 2) <= RELEASE_US,
              "command for a zone without proxies at this instance: " + command);
        }
      }
      assertTrue(
          harness.channel.backlogLines() <= harness.fixture.settings.channel().maxBacklogLines(),
          "backlog lines " + harness.channel.backlogLines());
      harness.commands.weightsByTable.forEach(
          (number, table) -> {
            assertTrue(
                table.size() <= maxEntries,
                "table " + number + " has " + table.size() + " entries, limit " + maxEntries);
            boolean used = harness.commands.tableByProxy.containsValue(number);
            assertTrue(
                !used
                    || readyServers().isEmpty()
                    || table.keySet().stream()
                        .anyMatch(id -> !harness.commands.ejected.contains(id)),
                "table " + number + " has no usable server");
          });
    }

    private static OptionalInt tableOf(RecordedCommand command) {
      if (command instanceof RecordedCommand.SetWeight weight) {
        return OptionalInt.of(weight.table());
      }
      if (command instanceof RecordedCommand.SetAdmission admission) {
        return OptionalInt.of(admission.table());
      }
      if (command instanceof RecordedCommand.BindProxy bind) {
        return OptionalInt.of(bind.table());
      }
      return OptionalInt.empty();
    }

    /**
     * Runs without further events until all proxies are bound and the tables list all serving
     * servers, or as many as a bind can carry.
     */
    void runUntilSettled() {
      harness.runTicks(MIN_QUIET_TICKS);
      for (int i = 0; i < MAX_QUIET_TICKS && !isSettled(); i++) {
        harness.runTick();
      }
      assertTrue(
          isSettled(),
          "bound "
              + harness.commands.tableByProxy
              + " of "
              + harness.zoneByProxy
              + ", serving "
              + readyServers()
              + ", tables "
              + harness.commands.weightsByTable);
    }

    private boolean isSettled() {
      Set<Long> serving = readyServers();
      int size = Math.min(maxEntries, serving.size());
      return size == 0
          || (harness.commands.tableByProxy.equals(harness.zoneByProxy)
              && harness.zoneByProxy.values().stream()
                  .allMatch(
                      zone ->
                          harness.listedServers(zone).size() == size
                              && serving.containsAll(harness.listedServers(zone))));
    }
  }

  /**
   * Returns the number of entries of the longest table that a bind can carry with a reinstatement
   * for each weight, according to docs/design.md.
   */
  private static int maxEntriesOfABind(PolicySettings settings) {
    ChannelSettings channel = settings.channel();
    double graceLines =
        (settings.limits().drainGraceUs() - channel.maxPushDelayUs())
            / 1e6
            * channel.linesPerSecond();
    double joinsShare =
        settings.proxies()
            * (2.5 * channel.messageOverheadLines() + 4 + settings.requestClasses().size())
            / graceLines;
    double maxBacklogShare = Math.min(0.3, Math.max(0.1, 0.9 - joinsShare));
    double budgetLines = Math.min(0.8 * channel.maxBacklogLines(), maxBacklogShare * graceLines);
    return (int)
        Math.max(
            1,
            (budgetLines - channel.messageOverheadLines() - 2 - settings.requestClasses().size())
                / 2);
  }

  /** The seed is fixed, so that each run checks equal histories. */
  @Property(tries = 10, seed = "20261202", shrinking = ShrinkingMode.OFF)
  void theInvariantsHoldAfterEachBatch(@ForAll("randomParameters") RandomParameters parameters) {
    History history = new History(parameters);
    history.run(STEPS);
    history.runUntilSettled();
  }
}
