package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ZoneTableTest {
  private final ZoneTable table = new ZoneTable(2, 1, RetryPolicy.RETRY_IF_NOT_RUN);

  @Test
  void aPlanReplacesTheLastOneAndOmitsServersWithoutAShare() {
    table.plan(List.of(new Server(1, 0)), server -> 1);
    table.plan(List.of(new Server(2, 0), new Server(3, 0)), server -> server.id == 2 ? 0.5 : 0);
    assertEquals(Map.of(2L, 0.5), table.plannedShares);
    assertEquals(0, table.plannedShare(1));
  }

  @Test
  void weightZeroRemovesTheEntry() {
    table.recordWeight(1, 0.5);
    assertTrue(table.lists(1));
    table.recordWeight(1, 0);
    assertFalse(table.lists(1));
    assertEquals(0, table.publishedWeight(1));
  }

  @Test
  void dueUpdatesAreCountedUntilTheWeightIsPublished() {
    assertEquals(1, table.countDueUpdate(1));
    assertEquals(2, table.countDueUpdate(1));
    table.recordWeight(1, 0.5);
    assertEquals(1, table.countDueUpdate(1));
  }

  @Test
  void aClassThatIsPublishedTwiceIsCountedOnce() {
    table.recordAdmission(1, 0.5, RetryPolicy.NO_RETRY);
    table.recordAdmission(1, 0.6, RetryPolicy.NO_RETRY);
    assertEquals(1, table.publishedClassCount());
    assertEquals(0.6, table.admissionLevels[1]);
    assertEquals(1, table.admissionLevels[0]);
  }
}
