package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** The module after a start that was told what an earlier process had ordered. */
class RestoredStateTest {
  private final PolicyFixture p = new PolicyFixture(RecordingCommands.settings());

  private void restored(Map<Long, Double> weights, double level, int retry) {
    for (int table = 0; table < 2; table++) {
      p.fleet.tables.put(table, new TreeMap<>(weights));
      p.rules.onTableRestored(
          p.now, table, weights, new double[] {level, level}, new int[] {retry, retry}, 41);
    }
  }

  private static Map<Long, Double> uneven() {
    return Map.of(1L, 0.4, 2L, 0.1, 3L, 0.3, 4L, 0.2);
  }

  private void holds(int proxy, int lacks) {
    p.join(proxy, false);
    p.rules.onTableHeld(p.now, proxy, proxy % 2, lacks);
  }

  private long lines(int from) {
    return p.fleet.orders.stream().skip(from).filter(o -> o.startsWith("line ")).count();
  }

  @Test
  void whoLacksNothingIsBoundAtOnceAndTheWeightsStay() {
    p.rules.onEndpointList(p.now, ListUpdateKind.CACHED, RecordingCommands.servers(4, 2));
    restored(uneven(), 1, 1);
    p.rules.onBatchEnd(p.now);
    p.step(10_000);
    holds(0, 0);
    holds(1, 2);
    p.join(2, false);
    p.rules.onBatchEnd(p.now);
    assertEquals(Map.of(0, 0, 1, 1), p.fleet.bound, "proxy 2 holds who knows what and waits");
    assertEquals(0, lines(0), "weights stand as they were");
    assertEquals(42, p.fleet.marks, "marks go on");
    p.period();
    for (long id = 1; id <= 4; id++) {
      double moved = p.fleet.share(0, id) / uneven().get(id);
      assertTrue(moved > 0.5 && moved < 1.5, "a period moves a weight boundedly: " + moved);
    }
    assertFalse(p.fleet.bound.containsKey(2));
    p.periods(4);
    assertTrue(p.fleet.bound.containsKey(2));
  }

  /**
   * Without what was kept the same start orders even weights: the defence is what the test above
   * sees.
   */
  @Test
  void withoutItTheSameStartEvensTheWeights() {
    p.rules.onEndpointList(p.now, ListUpdateKind.CACHED, RecordingCommands.servers(4, 2));
    p.join(0, false);
    p.rules.onBatchEnd(p.now);
    p.periods(4);
    assertTrue(lines(0) >= 4);
    assertTrue(p.fleet.share(0, 1) < 0.3);
  }

  /**
   * A crash in a jam: levels are not lifted, and repeats not ordered again, before reports were
   * heard.
   */
  @Test
  void inAJamLevelsStayAndNoRepeatIsOrderedAgain() {
    p.rules.onEndpointList(p.now, ListUpdateKind.CACHED, RecordingCommands.servers(4, 2));
    restored(uneven(), 0.5, 0);
    p.rules.onBatchEnd(p.now);
    for (int proxy = 0; proxy < 4; proxy++) {
      holds(proxy, 0);
    }
    p.rules.onBatchEnd(p.now);
    p.step(RecordingCommands.S / 2);
    p.rules.onBatchEnd(p.now);
    assertTrue(p.fleet.orders.stream().noneMatch(o -> o.startsWith("admit")), "" + p.fleet.orders);
    p.periods(12);
    assertEquals(1, p.fleet.retries.get(1), "a calm fleet repeats again, after proof");
  }

  @Test
  void aServerThatDrainsOrIsGoneIsNotRevived() {
    p.rules.onEndpointList(
        p.now,
        ListUpdateKind.CACHED,
        List.of(
            RecordingCommands.ready(1, 1, 0),
            RecordingCommands.ready(2, 0, 0),
            RecordingCommands.state(3, 1, Lifecycle.DRAINING)));
    restored(uneven(), 1, 1);
    holds(0, 0);
    p.rules.onBatchEnd(p.now);
    assertTrue(p.fleet.withdrawn.contains(3L));
    p.periods(3);
    for (int table = 0; table < 2; table++) {
      assertFalse(p.fleet.tables.get(table).containsKey(3L));
    }
  }

  @Test
  void aTableOfWhichNobodyIsLeftIsNoTable() {
    p.rules.onEndpointList(
        p.now,
        ListUpdateKind.CACHED,
        List.of(RecordingCommands.ready(8, 0, 0), RecordingCommands.ready(9, 1, 0)));
    restored(uneven(), 1, 1);
    holds(0, 0);
    p.join(1, true);
    p.fleet.tables.clear();
    p.rules.onBatchEnd(p.now);
    assertEquals(java.util.Set.of(1), p.fleet.bound.keySet());
    p.periods(4);
    assertTrue(p.fleet.bound.containsKey(0));
    assertEquals(0.5, p.fleet.share(0, 8), 0.2);
  }

  /** What one lacks finds no room: it is bound later, by its whole table, and counted so. */
  @Test
  void whoLacksMoreThanFitsWaitsForTheWhole() {
    p.rules.onEndpointList(p.now, ListUpdateKind.CACHED, RecordingCommands.servers(4, 2));
    restored(uneven(), 1, 1);
    p.rules.onBatchEnd(p.now);
    holds(0, 5000);
    p.rules.onBatchEnd(p.now);
    assertFalse(p.fleet.bound.containsKey(0));
    p.periods(4);
    assertTrue(p.fleet.bound.containsKey(0));
  }
}
