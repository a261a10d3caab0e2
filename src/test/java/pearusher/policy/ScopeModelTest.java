package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
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
   * Thirty graces, a pass and the tick at its end: from then on a zone without proxies has no
   * table.
   */
  private static final long LET_GO_US = 62 * RecordingCommands.S;

  /**
   * Each ramp is over by the first; by the second all that a narrow channel has to carry went
   * through.
   */
  private static final int LEAST_QUIET_TICKS = 110;

  private static final int MOST_QUIET_TICKS = 900;
  private static final int STEPS = 45;
  private static final int LINES_A_PROXY = 50;

  /** What is drawn for one history; a channel is made for the size of its tier. */
  private record Drawn(int zones, int servers, double pace, int messagesMost, int tier, long seed) {
    Drawn {
      tier = Math.min(tier, (int) (pace / LINES_A_PROXY));
    }

    PolicySettings settings() {
      List<RequestClass> grades =
          List.of(
              RecordingCommands.grade(Idempotency.IDEMPOTENT, 1),
              RecordingCommands.grade(Idempotency.NOT_IDEMPOTENT, 3));
      PolicySettings set =
          RecordingCommands.settings(
              AdmissionMode.SHARE, grades, zones, 0.08, 0, messagesMost, tier);
      return RecordingCommands.paced(RecordingCommands.seeded(set, seed), pace);
    }
  }

  @Provide
  Arbitrary<Drawn> drawn() {
    return Combinators.combine(
            Arbitraries.integers().between(1, 40),
            Arbitraries.integers().between(1, 300),
            Arbitraries.of(400.0, 1000.0, 3000.0, 12_000.0),
            Arbitraries.of(0, 0, 20, 60),
            Arbitraries.integers().between(2, 30),
            Arbitraries.longs())
        .as(Drawn::new);
  }

  /** One history: what the list says, who is where, and since when. */
  private static final class History {
    private final Drawn drawn;
    private final Random random;
    private final ScopeSite site;
    private final Map<Long, ServerEntry> listed = new TreeMap<>();
    private final Map<Integer, Long> zoneUsed = new HashMap<>();
    private final int bound;
    private long nextServer = 100_000;
    private int nextProxy = 1000;

    History(Drawn drawn) {
      this.drawn = drawn;
      random = new Random(drawn.seed);
      bound = longest(drawn.settings());
      site = new ScopeSite(drawn.settings(), drawn.pace);
      RecordingCommands.servers(drawn.servers, drawn.zones).forEach(e -> listed.put(e.server(), e));
      site.invariant = this::check;
      int here = 1 + random.nextInt(Math.min(4, drawn.zones));
      int each = 1 + random.nextInt(Math.max(1, drawn.tier / here));
      site.start(List.copyOf(listed.values()), here, each);
    }

    private ServerEntry entry(ServerEntry e, Lifecycle state, long startedUs) {
      return new ServerEntry(e.server(), e.zone(), 0, 0, state, 1, startedUs);
    }

    /**
     * Some servers drain, go, return as they were or anew, or are new: each its way, or all alike.
     */
    private List<ServerEntry> changes(int most, boolean alike) {
      List<ServerEntry> changes = new ArrayList<>();
      List<ServerEntry> all = List.copyOf(listed.values());
      int way = random.nextInt(5);
      for (int k = random.nextInt(most); k > 0; k--) {
        ServerEntry e = all.get(random.nextInt(all.size()));
        long now = site.play.now;
        changes.add(
            switch (alike ? way : random.nextInt(5)) {
              case 0 -> entry(e, Lifecycle.DRAINING, e.startedUs());
              case 1 -> entry(e, Lifecycle.REMOVED, e.startedUs());
              case 2 -> entry(e, Lifecycle.READY, e.startedUs());
              case 3 -> entry(e, Lifecycle.READY, now);
              default -> RecordingCommands.ready(++nextServer, random.nextInt(drawn.zones), now);
            });
      }
      return changes;
    }

    private void list() {
      boolean many = random.nextInt(4) == 0;
      List<ServerEntry> changes = changes(many ? 2 + 2 * listed.size() : 4, many);
      changes.forEach(e -> listed.put(e.server(), e));
      if (random.nextInt(5) > 0) {
        site.list(changes);
        return;
      }
      // A whole list leaves out what is gone.
      listed.values().removeIf(e -> e.lifecycle() == Lifecycle.REMOVED);
      site.play.rules.onEndpointList(
          site.play.now, ListUpdateKind.COMPLETE, List.copyOf(listed.values()));
    }

    /** Many servers drain, and a little later are as they were. */
    private void calledOff() {
      List<ServerEntry> some =
          listed.values().stream().filter(e -> random.nextInt(3) == 0).toList();
      for (Lifecycle state : List.of(Lifecycle.DRAINING, Lifecycle.READY)) {
        List<ServerEntry> changes = some.stream().map(e -> entry(e, state, e.startedUs())).toList();
        changes.forEach(e -> listed.put(e.server(), e));
        site.list(changes);
        site.reply();
        site.ticks(random.nextInt(25));
      }
    }

    private void move() {
      if (random.nextBoolean() && !site.zones.isEmpty()) {
        List<Integer> here = List.copyOf(site.zones.keySet());
        int proxy = here.get(random.nextInt(here.size()));
        if (random.nextInt(4) == 0) {
          site.leaveZone(site.zones.get(proxy));
        } else {
          site.leave(proxy);
        }
        return;
      }
      int zone = random.nextInt(drawn.zones);
      boolean holds = random.nextBoolean();
      for (int k = 1 + random.nextInt(4); k > 0 && site.zones.size() < drawn.tier; k--) {
        if (holds) {
          site.joinHolding(++nextProxy, zone, new HashSet<>(listed.keySet()));
        } else {
          site.join(++nextProxy, zone);
        }
      }
    }

    private void speeds() {
      for (long id : listed.keySet()) {
        site.play.meanMs.put(id, 100 + 200 * random.nextDouble());
      }
    }

    void play(int steps) {
      for (int i = 0; i < steps; i++) {
        switch (random.nextInt(7)) {
          case 0 -> list();
          case 1, 2 -> move();
          case 3 -> speeds();
          case 4 -> calledOff();
          case 5 -> site.passes(random.nextInt(12), 1);
          default -> site.ticks(random.nextInt(25));
        }
        site.reply();
      }
    }

    private Set<Long> serving() {
      Set<Long> ids = new TreeSet<>();
      listed.values().stream()
          .filter(e -> e.lifecycle() == Lifecycle.READY)
          .forEach(e -> ids.add(e.server()));
      return ids;
    }

    /** What must hold after each reply. */
    private void check() {
      long now = site.play.now;
      site.zones.values().forEach(zone -> zoneUsed.put(zone, now));
      for (String order : site.orders) {
        String[] words = order.split(" ");
        if (words[0].equals("line") || words[0].equals("admit") || words[0].equals("bind")) {
          int zone = Integer.parseInt(words[words[0].equals("bind") ? 2 : 1]) % drawn.zones;
          assertTrue(
              now - zoneUsed.getOrDefault(zone, Long.MIN_VALUE / 2) <= LET_GO_US,
              order + ", though nobody of its zone is here");
        }
      }
      assertTrue(
          site.channel.waiting() <= site.play.set.channel().maxBacklogLines(),
          "lines waiting " + site.channel.waiting());
      site.fleet.tables.forEach(
          (number, table) -> {
            assertTrue(table.size() <= bound, "table " + number + " of " + table.size());
            boolean used = site.fleet.bound.containsValue(number);
            assertTrue(
                !used
                    || serving().isEmpty()
                    || table.keySet().stream().anyMatch(id -> !site.fleet.withdrawn.contains(id)),
                "table " + number + " is bare");
          });
    }

    /** Nothing happens for some periods: all are bound, and tables are what they should be. */
    void quiet() {
      site.ticks(LEAST_QUIET_TICKS);
      for (int i = 0; i < MOST_QUIET_TICKS && !settled(); i++) {
        site.tick();
      }
      assertTrue(
          settled(),
          "bound "
              + site.fleet.bound
              + " of "
              + site.zones
              + ", serving "
              + serving()
              + ", tables "
              + site.fleet.tables);
    }

    private boolean settled() {
      Set<Long> serving = serving();
      int size = Math.min(bound, serving.size());
      return size == 0
          || (site.fleet.bound.equals(site.zones)
              && site.zones.values().stream()
                  .allMatch(
                      zone ->
                          site.table(zone).size() == size
                              && serving.containsAll(site.table(zone))));
    }
  }

  /** The longest table that a bind can carry with a word for each line: design.md's figures. */
  private static int longest(PolicySettings set) {
    ChannelSettings c = set.channel();
    double grace = (set.limits().drainGraceUs() - c.maxPushDelayUs()) / 1e6 * c.linesPerSecond();
    double joiners =
        set.proxies() * (2.5 * c.messageOverheadLines() + 4 + set.requestClasses().size()) / grace;
    double share = Math.min(0.3, Math.max(0.1, 0.9 - joiners));
    double room = Math.min(0.8 * c.maxBacklogLines(), share * grace);
    return (int)
        Math.max(1, (room - c.messageOverheadLines() - 2 - set.requestClasses().size()) / 2);
  }

  /** The same histories each time, as all tests here. */
  @Property(tries = 10, seed = "20261202", shrinking = ShrinkingMode.OFF)
  void whatHoldsHoldsAfterEachReply(@ForAll("drawn") Drawn drawn) {
    History history = new History(drawn);
    history.play(STEPS);
    history.quiet();
  }
}
