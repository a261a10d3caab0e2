package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Invariants of the commands in random histories of deployments, failures, joins and leaves. */
class PolicyInvariantsTest {
  private static final int STEPS = 60;
  private static final int PROXIES = 10;
  private static final long SLOW_START_US = 10 * PolicyFixture.SECOND_US;
  private static final int OVERHEAD_LINES = 11;
  private static final int LINES_PER_SECOND = 3000;
  private static final int MAX_BACKLOG_LINES = 4500;

  /** One seeded history. Each step consists of a list update and a control period. */
  private static final class History {
    private final long seed;
    private final Random random;
    private final PolicyFixture fixture;
    private final RecordingCommands commands;
    private final List<Long> listedServers;

    /** Start times of the servers that were added during the history. */
    private final Map<Long, Long> startedUs = new TreeMap<>();

    private long lastServer = 100;
    private double backlogLines;

    History(long seed) {
      this.seed = seed;
      random = new Random(seed);
      fixture = PolicyFixture.started(6 + random.nextInt(10), 2 + random.nextInt(8));
      commands = fixture.commands;
      listedServers = new ArrayList<>(commands.weightsByTable.get(0).keySet());
    }

    void run(boolean checkInvariants) {
      for (int i = 0; i < STEPS; i++) {
        fixture.advance(10_000);
        List<ServerEntry> changes = changeServers();
        changeProxies();
        fixture.updateEndpoints(ListUpdateKind.DELTA, changes);
        int lines = linesOfBatch();
        if (checkInvariants) {
          assertEjectionsMatch(changes);
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
      if (random.nextInt(4) == 0 && listedServers.size() > 2) {
        long id = listedServers.remove(random.nextInt(listedServers.size()));
        Lifecycle state = random.nextBoolean() ? Lifecycle.REMOVED : Lifecycle.DRAINING;
        changes.add(TestServers.serverIn(id, 0, state));
      }
      if (random.nextInt(4) == 0) {
        listedServers.add(++lastServer);
        startedUs.put(lastServer, fixture.nowUs);
        changes.add(TestServers.readyServer(lastServer, (int) (lastServer % 2), fixture.nowUs));
      }
      if (random.nextInt(5) == 0) {
        fixture.failureShare.put(
            listedServers.get(random.nextInt(listedServers.size())), random.nextDouble());
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

    private void assertEjectionsMatch(List<ServerEntry> changes) {
      for (ServerEntry entry : changes) {
        assertEquals(
            entry.lifecycle() != Lifecycle.READY,
            commands.ejected.contains(entry.server()),
            "ejected in the same batch, seed " + seed);
      }
    }

    private void assertInvariants() {
      assertTrue(
          backlogLines <= MAX_BACKLOG_LINES, "backlog lines " + backlogLines + ", seed " + seed);
      for (int zone = 0; zone < 2; zone++) {
        assertTableIsUsable(zone);
        for (long id : listedServers) {
          assertSlowStartShareIsBounded(zone, id);
          assertTrue(
              !isPastSlowStart(id) || commands.weightsByTable.get(zone).containsKey(id),
              "a server past slow start is not listed, seed " + seed);
        }
      }
      assertTrue(
          commands.retryByClass.values().stream().allMatch(retry -> retry <= 1),
          "retry mode above 1, seed " + seed);
    }

    private void assertTableIsUsable(int zone) {
      assertTrue(
          commands.weightsByTable.get(zone).keySet().stream()
              .anyMatch(id -> !commands.ejected.contains(id)),
          "no usable server, seed " + seed);
    }

    /**
     * Asserts that the share of a server in slow start is bounded by its progress, while at least
     * half of the servers are past slow start.
     */
    private void assertSlowStartShareIsBounded(int zone, long id) {
      Map<Long, Double> weights = commands.weightsByTable.get(zone);
      long serversPastSlowStart = listedServers.stream().filter(this::isPastSlowStart).count();
      if (2 * serversPastSlowStart < listedServers.size()
          || !startedUs.containsKey(id)
          || !weights.containsKey(id)) {
        return;
      }
      double progress = (fixture.nowUs - startedUs.get(id)) / (double) SLOW_START_US;
      double readyShare = Math.min(1, 0.1 + 0.9 * progress);
      double evenShare = 1.0 / weights.size();
      double share = commands.share(zone, id);
      assertTrue(
          share < 4 * evenShare * readyShare + 0.05,
          "share of a server in slow start " + share + ", seed " + seed);
    }

    private boolean isPastSlowStart(long id) {
      return startedUs.getOrDefault(id, 0L) + SLOW_START_US <= fixture.nowUs;
    }
  }

  private static List<RecordedCommand> commandsOf(long seed, boolean checkInvariants) {
    History history = new History(seed);
    history.run(checkInvariants);
    return history.commands.issued;
  }

  @Test
  void theInvariantsHoldInManyHistories() {
    for (long seed = 1; seed <= 150; seed++) {
      commandsOf(seed, true);
    }
  }

  @Test
  void equalEventsResultInEqualCommands() {
    for (long seed = 1; seed <= 10; seed++) {
      assertEquals(commandsOf(seed, false), commandsOf(seed, false));
    }
  }
}
