package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Invariants of the commands over random histories of deploys, failures, joins and leaves. */
class PolicyInvariantsTest {
  private static final int STEPS = 60;
  private static final int PROXIES = 10;
  private static final long RAMP_US = 10 * PolicyFixture.SECOND_US;
  private static final int OVERHEAD_LINES = 11;
  private static final int LINES_PER_SECOND = 3000;
  private static final int MAX_BACKLOG_LINES = 4500;

  /** One seeded history, in steps of a list update and a control period. */
  private static final class History {
    private final long seed;
    private final Random random;
    private final PolicyFixture fixture;
    private final RecordingCommands commands;
    private final List<Long> alive;

    /** Start times of the servers that were added during the history. */
    private final Map<Long, Long> startedUs = new TreeMap<>();

    private long lastServer = 100;
    private double backlogLines;

    History(long seed) {
      this.seed = seed;
      random = new Random(seed);
      fixture = PolicyFixture.started(6 + random.nextInt(10), 2 + random.nextInt(8));
      commands = fixture.commands;
      alive = new ArrayList<>(commands.weightsByTable.get(0).keySet());
    }

    void play(boolean checkInvariants) {
      for (int i = 0; i < STEPS; i++) {
        fixture.advance(10_000);
        List<ServerEntry> changes = changeServers();
        changeProxies();
        fixture.updateEndpoints(ListUpdateKind.DELTA, changes);
        int lines = linesOfBatch();
        if (checkInvariants) {
          assertEjectionsFollow(changes);
        }
        fixture.runPeriod();
        lines += linesOfBatch();
        backlogLines = Math.max(0, backlogLines + lines - LINES_PER_SECOND);
        if (checkInvariants) {
          assertInvariants();
        }
      }
    }

    private List<ServerEntry> changeServers() {
      List<ServerEntry> changes = new ArrayList<>();
      if (random.nextInt(4) == 0 && alive.size() > 2) {
        long id = alive.remove(random.nextInt(alive.size()));
        Lifecycle state = random.nextBoolean() ? Lifecycle.REMOVED : Lifecycle.DRAINING;
        changes.add(TestServers.serverIn(id, 0, state));
      }
      if (random.nextInt(4) == 0) {
        alive.add(++lastServer);
        startedUs.put(lastServer, fixture.nowUs);
        changes.add(TestServers.readyServer(lastServer, (int) (lastServer % 2), fixture.nowUs));
      }
      if (random.nextInt(5) == 0) {
        fixture.failureShare.put(alive.get(random.nextInt(alive.size())), random.nextDouble());
      }
      return changes;
    }

    private void changeProxies() {
      if (random.nextInt(6) == 0) {
        fixture.join(random.nextInt(PROXIES), random.nextBoolean());
      }
      if (random.nextInt(8) == 0) {
        fixture.leave(random.nextInt(PROXIES));
      }
    }

    private int linesOfBatch() {
      return commands.linesThisBatch + OVERHEAD_LINES * commands.joinedProxies.size();
    }

    private void assertEjectionsFollow(List<ServerEntry> changes) {
      for (ServerEntry entry : changes) {
        assertEquals(
            entry.lifecycle() != Lifecycle.READY,
            commands.ejected.contains(entry.server()),
            "ejected at once, seed " + seed);
      }
    }

    private void assertInvariants() {
      assertTrue(
          backlogLines <= MAX_BACKLOG_LINES, "backlog lines " + backlogLines + ", seed " + seed);
      for (int zone = 0; zone < 2; zone++) {
        assertTableIsUsable(zone);
        for (long id : alive) {
          assertColdShareIsBounded(zone, id);
          assertTrue(
              !isWarm(id) || commands.weightsByTable.get(zone).containsKey(id),
              "all warm servers listed, seed " + seed);
        }
      }
      assertTrue(
          commands.retryByClass.values().stream().allMatch(retry -> retry <= 1), "seed " + seed);
    }

    private void assertTableIsUsable(int zone) {
      assertTrue(
          commands.weightsByTable.get(zone).keySet().stream()
              .anyMatch(id -> !commands.ejected.contains(id)),
          "a usable server, seed " + seed);
    }

    /** While most servers are warm, a cold one's share is bounded by its progress on the ramp. */
    private void assertColdShareIsBounded(int zone, long id) {
      Map<Long, Double> weights = commands.weightsByTable.get(zone);
      long warmServers = alive.stream().filter(this::isWarm).count();
      if (2 * warmServers < alive.size()
          || !startedUs.containsKey(id)
          || !weights.containsKey(id)) {
        return;
      }
      double age = (fixture.nowUs - startedUs.get(id)) / (double) RAMP_US;
      double ready = Math.min(1, 0.1 + 0.9 * age);
      double even = 1.0 / weights.size();
      double share = commands.share(zone, id);
      assertTrue(
          share < 4 * even * ready + 0.05, "cold server's share " + share + ", seed " + seed);
    }

    private boolean isWarm(long id) {
      return startedUs.getOrDefault(id, 0L) + RAMP_US <= fixture.nowUs;
    }
  }

  private static List<RecordedCommand> commandsOf(long seed, boolean checkInvariants) {
    History history = new History(seed);
    history.play(checkInvariants);
    return history.commands.issued;
  }

  @Test
  void theInvariantsHoldOverManyHistories() {
    for (long seed = 1; seed <= 150; seed++) {
      commandsOf(seed, true);
    }
  }

  @Test
  void equalEventsGiveEqualCommands() {
    for (long seed = 1; seed <= 10; seed++) {
      assertEquals(commandsOf(seed, false), commandsOf(seed, false));
    }
  }
}
