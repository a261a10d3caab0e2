package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Watch on the endpoint list and its renewal after a failure. */
class EndpointListTest {
  private static final RecordedCommand START_WATCH = new RecordedCommand.WatchEndpoints(true);

  @Test
  void aFailedWatchIsRenewedAndItsLossIsLoggedOnce() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    assertTrue(fixture.commands.issued.contains(START_WATCH));
    fixture.updateEndpoints(ListUpdateKind.COMPLETE, TestServers.readyServers(8, 2));
    fixture.commands.issued.clear();
    fixture.updateEndpoints(ListUpdateKind.FAILED, List.of());
    assertTrue(fixture.commands.timerDelayUs.containsKey(PolicyFixture.ENDPOINT_LIST_TIMER));
    fixture.fireTimer(PolicyFixture.ENDPOINT_LIST_TIMER);
    assertTrue(fixture.commands.issued.contains(START_WATCH));
    fixture.updateEndpoints(ListUpdateKind.FAILED, List.of());
    assertEquals(
        1, fixture.commands.logLines.stream().filter("endpoint list watch lost"::equals).count());
    fixture.updateEndpoints(ListUpdateKind.COMPLETE, TestServers.readyServers(8, 2));
    assertTrue(fixture.commands.logLines.contains("endpoint list watch restored"));
  }

  /**
   * Guards against instances that lose discovery at one instant and all retry at one instant, and
   * against retries at ever shorter delays.
   */
  @Test
  void renewalDelaysGrowToABoundAndDifferBySeed() {
    List<List<Long>> delays = new ArrayList<>();
    for (long seed : new long[] {0x8c1f30d27a5be964L, 0x1c1f30d27a5be965L}) {
      PolicyFixture fixture =
          new PolicyFixture(new PolicySettingsBuilder().seed(seed).build())
              .start(TestServers.readyServers(8, 2), 4);
      fixture.updateEndpoints(ListUpdateKind.COMPLETE, TestServers.readyServers(8, 2));
      List<Long> delaysOfSeed = new ArrayList<>();
      for (int k = 0; k < 40; k++) {
        fixture.updateEndpoints(ListUpdateKind.FAILED, List.of());
        delaysOfSeed.add(fixture.commands.timerDelayUs.get(PolicyFixture.ENDPOINT_LIST_TIMER));
      }
      fixture.updateEndpoints(ListUpdateKind.COMPLETE, TestServers.readyServers(8, 2));
      fixture.updateEndpoints(ListUpdateKind.FAILED, List.of());
      assertEquals(
          delaysOfSeed.get(0),
          fixture.commands.timerDelayUs.get(PolicyFixture.ENDPOINT_LIST_TIMER),
          "the delay is reset by a successful list");
      assertTrue(
          delaysOfSeed.get(0) >= 375_000 && delaysOfSeed.get(0) <= 625_000,
          "first delay not from 375 to 625 ms: " + delaysOfSeed);
      assertTrue(
          delaysOfSeed.get(2) >= 2 * delaysOfSeed.get(0)
              && delaysOfSeed.stream().allMatch(delayUs -> delayUs <= 2_500_000),
          "third delay less than twice the first, or a delay above 2.5 s: " + delaysOfSeed);
      assertTrue(
          delaysOfSeed.subList(2, 40).stream().distinct().count() > 10,
          "10 or fewer distinct delays: " + delaysOfSeed);
      delays.add(delaysOfSeed);
    }
    assertFalse(delays.get(0).equals(delays.get(1)), "seeds with equal delays");
  }
}
