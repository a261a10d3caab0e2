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
 * Random histories under drawn settings against a plain model that knows every server and every
 * proxy.
 */
class ScopeModelTest {
  /**
   * Thirty graces, a control period and the tick at its end: later a zone without proxies has no
   * table.
   */
  private static final long RELEASE_US = 62 * PolicyFixture.SECOND_US;

  /** Each slow start is over by the first; by the second a narrow channel has sent its backlog. */
  private static final int MIN_QUIET_TICKS = 110;

  private static final int MAX_QUIET_TICKS = 900;
  private static final int STEPS = 45;
  private static final int LINES_PER_PROXY = 50;

  /** Parameters of one history; the channel is sized for the fleet. */
  private record DrawnSite(
      int zones,
      int servers,
      double linesPerSecond,
      int maxMessagesPerProxy,
      int fleetProxies,
      long seed) {
    DrawnSite {
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
  Arbitrary<DrawnSite> drawnSites() {
    return Combinators.combine(
            Arbitraries.integers().between(1, 40),
            Arbitraries.integers().between(1, 300),
            Arbitraries.of(400.0, 1000.0, 3000.0, 12_000.0),
            Arbitraries.of(0, 0, 20, 60),
            Arbitraries.integers().between(2, 30),
            Arbitraries.longs())
        .as(DrawnSite::new);
  }

  /** One history: the endpoint list, the zones of the proxies, and when each zone was last used. */
  private static final class History {
    private final DrawnSite drawn;
    private final Random random;
    private final ScopeSite site;
    private final Map<Long, ServerEntry> listedServers = new TreeMap<>();
    private final Map<Integer, Long> zoneUsed = new HashMap<>();
    private final int maxEntries;
    private long nextServer = 100_000;
    private int nextProxy = 1000;

    History(DrawnSite drawn) {
      this.drawn = drawn;
      random = new Random(drawn.seed);
      maxEntries = maxEntriesOfABind(drawn.settings());
      site = new ScopeSite(drawn.settings(), drawn.linesPerSecond);
      TestServers.readyServers(drawn.servers, drawn.zones)
          .forEach(entry -> listedServers.put(entry.server(), entry));
      site.invariant = this::assertInvariants;
      int zonesWithProxies = 1 + random.nextInt(Math.min(4, drawn.zones));
      int proxiesPerZone = 1 + random.nextInt(Math.max(1, drawn.fleetProxies / zonesWithProxies));
      site.start(List.copyOf(listedServers.values()), zonesWithProxies, proxiesPerZone);
    }

    private ServerEntry entry(ServerEntry entry, Lifecycle state, long startedUs) {
      return new ServerEntry(entry.server(), entry.zone(), 0, 0, state, 1, startedUs);
    }

    /**
     * Some servers drain, are removed, return unchanged or restarted, or are new: each of a kind of
     * its own, or all of the same.
     */
    private List<ServerEntry> randomChanges(int maxChanges, boolean sameKind) {
      List<ServerEntry> changes = new ArrayList<>();
      List<ServerEntry> existing = List.copyOf(listedServers.values());
      int changeKind = random.nextInt(5);
      for (int k = random.nextInt(maxChanges); k > 0; k--) {
        ServerEntry entry = existing.get(random.nextInt(existing.size()));
        long now = site.fixture.nowUs;
        changes.add(
            switch (sameKind ? changeKind : random.nextInt(5)) {
              case 0 -> entry(entry, Lifecycle.DRAINING, entry.startedUs());
              case 1 -> entry(entry, Lifecycle.REMOVED, entry.startedUs());
              case 2 -> entry(entry, Lifecycle.READY, entry.startedUs());
              case 3 -> entry(entry, Lifecycle.READY, now);
              default -> TestServers.readyServer(++nextServer, random.nextInt(drawn.zones), now);
            });
      }
      return changes;
    }

    private void updateList() {
      boolean many = random.nextInt(4) == 0;
      List<ServerEntry> changes = randomChanges(many ? 2 + 2 * listedServers.size() : 4, many);
      changes.forEach(entry -> listedServers.put(entry.server(), entry));
      if (random.nextInt(5) > 0) {
        site.updateEndpoints(changes);
        return;
      }
      // A complete list omits removed servers.
      listedServers.values().removeIf(entry -> entry.lifecycle() == Lifecycle.REMOVED);
      site.fixture.sendEndpointList(ListUpdateKind.COMPLETE, List.copyOf(listedServers.values()));
    }

    /** Many servers drain and return unchanged a little later. */
    private void cancelDrain() {
      List<ServerEntry> draining =
          listedServers.values().stream().filter(entry -> random.nextInt(3) == 0).toList();
      for (Lifecycle state : List.of(Lifecycle.DRAINING, Lifecycle.READY)) {
        List<ServerEntry> changes =
            draining.stream().map(entry -> entry(entry, state, entry.startedUs())).toList();
        changes.forEach(entry -> listedServers.put(entry.server(), entry));
        site.updateEndpoints(changes);
        site.endBatch();
        site.runTicks(random.nextInt(25));
      }
    }

    private void joinOrLeave() {
      if (random.nextBoolean() && !site.zoneByProxy.isEmpty()) {
        List<Integer> existing = List.copyOf(site.zoneByProxy.keySet());
        int proxy = existing.get(random.nextInt(existing.size()));
        if (random.nextInt(4) == 0) {
          site.leaveZone(site.zoneByProxy.get(proxy));
        } else {
          site.leave(proxy);
        }
        return;
      }
      int zone = random.nextInt(drawn.zones);
      boolean holds = random.nextBoolean();
      for (int k = 1 + random.nextInt(4);
          k > 0 && site.zoneByProxy.size() < drawn.fleetProxies;
          k--) {
        if (holds) {
          site.joinHolding(++nextProxy, zone, new HashSet<>(listedServers.keySet()));
        } else {
          site.join(++nextProxy, zone);
        }
      }
    }

    private void changeLatencies() {
      for (long id : listedServers.keySet()) {
        site.fixture.latencyMs.put(id, 100 + 200 * random.nextDouble());
      }
    }

    void play(int steps) {
      for (int i = 0; i < steps; i++) {
        switch (random.nextInt(7)) {
          case 0 -> updateList();
          case 1, 2 -> joinOrLeave();
          case 3 -> changeLatencies();
          case 4 -> cancelDrain();
          case 5 -> site.runSteps(random.nextInt(12), 1);
          default -> site.runTicks(random.nextInt(25));
        }
        site.endBatch();
      }
    }

    private Set<Long> readyServers() {
      Set<Long> ids = new TreeSet<>();
      listedServers.values().stream()
          .filter(entry -> entry.lifecycle() == Lifecycle.READY)
          .forEach(entry -> ids.add(entry.server()));
      return ids;
    }

    /** Checks after each batch. */
    private void assertInvariants() {
      long now = site.fixture.nowUs;
      site.zoneByProxy.values().forEach(zone -> zoneUsed.put(zone, now));
      for (RecordedCommand command : site.lastCommands) {
        OptionalInt table = tableOf(command);
        if (table.isPresent()) {
          int zone = table.getAsInt() % drawn.zones;
          assertTrue(
              now - zoneUsed.getOrDefault(zone, Long.MIN_VALUE / 2) <= RELEASE_US,
              command + ", though no proxy of its zone is here");
        }
      }
      assertTrue(
          site.channel.backlogLines() <= site.fixture.settings.channel().maxBacklogLines(),
          "backlog lines " + site.channel.backlogLines());
      site.commands.weightsByTable.forEach(
          (number, table) -> {
            assertTrue(table.size() <= maxEntries, "table " + number + " of " + table.size());
            boolean used = site.commands.tableByProxy.containsValue(number);
            assertTrue(
                !used
                    || readyServers().isEmpty()
                    || table.keySet().stream().anyMatch(id -> !site.commands.ejected.contains(id)),
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

    /** Without further events all proxies get bound and tables list what they should. */
    void runUntilSettled() {
      site.runTicks(MIN_QUIET_TICKS);
      for (int i = 0; i < MAX_QUIET_TICKS && !isSettled(); i++) {
        site.runTick();
      }
      assertTrue(
          isSettled(),
          "bound "
              + site.commands.tableByProxy
              + " of "
              + site.zoneByProxy
              + ", serving "
              + readyServers()
              + ", tables "
              + site.commands.weightsByTable);
    }

    private boolean isSettled() {
      Set<Long> serving = readyServers();
      int size = Math.min(maxEntries, serving.size());
      return size == 0
          || (site.commands.tableByProxy.equals(site.zoneByProxy)
              && site.zoneByProxy.values().stream()
                  .allMatch(
                      zone ->
                          site.listedServers(zone).size() == size
                              && serving.containsAll(site.listedServers(zone))));
    }
  }

  /**
   * The longest table that a bind can carry with a reinstatement for each weight, by
   * docs/design.md.
   */
  private static int maxEntriesOfABind(PolicySettings settings) {
    ChannelSettings channel = settings.channel();
    double graceLines =
        (settings.limits().drainGraceUs() - channel.maxPushDelayUs())
            / 1e6
            * channel.linesPerSecond();
    double joinLoad =
        settings.proxies()
            * (2.5 * channel.messageOverheadLines() + 4 + settings.requestClasses().size())
            / graceLines;
    double bindShare = Math.min(0.3, Math.max(0.1, 0.9 - joinLoad));
    double budgetLines = Math.min(0.8 * channel.maxBacklogLines(), bindShare * graceLines);
    return (int)
        Math.max(
            1,
            (budgetLines - channel.messageOverheadLines() - 2 - settings.requestClasses().size())
                / 2);
  }

  /** The same histories each time, as all tests here. */
  @Property(tries = 10, seed = "20261202", shrinking = ShrinkingMode.OFF)
  void theInvariantsHoldAfterEachBatch(@ForAll("drawnSites") DrawnSite drawn) {
    History history = new History(drawn);
    history.play(STEPS);
    history.runUntilSettled();
  }
}
