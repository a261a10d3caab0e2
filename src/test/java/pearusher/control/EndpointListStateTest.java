package pearusher.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pearusher.control.EndpointListState.Freshness;
import pearusher.protocol.EndpointList;

class EndpointListStateTest {
  private static final long MAX_POLL_INTERVAL_US = 10_000_000;
  private static final long GENERATION = 41;
  private static final long OLDER_GENERATION = 30;
  private static final long START_US = 1_000_000;

  private final EndpointListState state = new EndpointListState(MAX_POLL_INTERVAL_US);

  @BeforeEach
  void setGeneration() {
    state.setGeneration(GENERATION);
  }

  private Freshness compare(long generation, boolean isComplete, boolean startsWatch, long nowUs) {
    EndpointList list = new EndpointList(generation, isComplete, List.of());
    return state.compare(list, startsWatch, nowUs);
  }

  @Test
  void aListOfTheSameOrALaterGenerationIsCurrent() {
    assertEquals(Freshness.CURRENT, compare(GENERATION, true, true, START_US));
    assertEquals(Freshness.CURRENT, compare(GENERATION + 1, false, false, START_US));
  }

  @Test
  void anOlderListIsOutdatedUnlessItIsCompleteAndStartsAWatch() {
    assertEquals(Freshness.OUTDATED, compare(OLDER_GENERATION, true, false, START_US));
    assertEquals(Freshness.OUTDATED, compare(OLDER_GENERATION, false, true, START_US));
    assertEquals(Freshness.LAGGING, compare(OLDER_GENERATION, true, true, START_US));
  }

  @Test
  void discoveryThatLagsForTheMaximumPollIntervalHasRestarted() {
    long almostUs = START_US + MAX_POLL_INTERVAL_US - 1;
    assertEquals(Freshness.LAGGING, compare(OLDER_GENERATION, true, true, START_US));
    assertEquals(Freshness.LAGGING, compare(OLDER_GENERATION, true, true, almostUs));
    assertEquals(Freshness.RESTARTED, compare(OLDER_GENERATION, true, true, almostUs + 1));
  }

  @Test
  void aCurrentListResetsTheTimeForWhichDiscoveryHasLagged() {
    compare(OLDER_GENERATION, true, true, START_US);
    compare(GENERATION, false, false, START_US + 1);
    assertEquals(
        Freshness.LAGGING,
        compare(OLDER_GENERATION, true, true, START_US + MAX_POLL_INTERVAL_US + 1));
  }
}
