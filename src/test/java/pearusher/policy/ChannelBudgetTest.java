package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Budget of a channel with 1,000 lines per second, messages with 9 + 1 fixed lines, and a drain
 * grace period of 2 s.
 */
class ChannelBudgetTest {
  private static final long SECOND_US = 1_000_000;
  private static final ChannelSettings CHANNEL =
      new ChannelSettings(1000, 9, 500, 0, SECOND_US, 0, 0);

  private final CommandLog log = new CommandLog();
  private final ChannelLimits limits = new ChannelLimits(CHANNEL, 2 * SECOND_US, 4, 1);
  private final ChannelBudget channel = new ChannelBudget(CHANNEL, limits, log.commands());

  @Test
  void theLimitsOfPrioritiesAreSharesOfTheBacklogLimit() {
    assertEquals(250, limits.maxBacklogLines(ChannelPriority.DEFERRABLE));
    assertEquals(300, limits.maxBacklogLines(ChannelPriority.REINSTATEMENT));
    assertEquals(400, limits.maxBacklogLines(ChannelPriority.TIMELY));
    assertEquals(450, limits.maxBacklogLines(ChannelPriority.EJECTION));
  }

  @Test
  void limitsBelowEjectionsAreLowerForALargeTier() {
    ChannelLimits large = new ChannelLimits(CHANNEL, 2 * SECOND_US, 1000, 1);
    assertEquals(
        200,
        large.maxBacklogLines(ChannelPriority.TIMELY),
        1e-9,
        "0.1 of the lines of a drain grace period");
    assertEquals(450, large.maxBacklogLines(ChannelPriority.EJECTION));
  }

  @Test
  void aMessageCountsItsFixedLinesOnceForEachProxy() {
    channel.beginUpdate(0);
    assertTrue(channel.reserve(List.of(1, 2), 5, ChannelPriority.TIMELY));
    assertEquals(2 * 15, channel.backlogLines());
    assertTrue(channel.reserve(List.of(2), 5, ChannelPriority.TIMELY));
    assertEquals(2 * 15 + 5, channel.backlogLines());
    assertEquals(Set.of(1, 2), channel.finishUpdate());
    assertEquals(List.of("requestAck[1, false]"), log.lines);
  }

  @Test
  void linesThatDoNotFitAreNotReserved() {
    channel.beginUpdate(0);
    assertTrue(channel.reserve(List.of(1), 230, ChannelPriority.DEFERRABLE));
    assertFalse(channel.reserve(List.of(1), 11, ChannelPriority.DEFERRABLE));
    assertEquals(240, channel.backlogLines());
    assertTrue(channel.reserve(List.of(1), 11, ChannelPriority.TIMELY));
    assertTrue(
        channel.reserve(List.of(), 1000, ChannelPriority.DEFERRABLE), "no proxies need no lines");
  }

  @Test
  void theBacklogDrainsAtTheConfiguredRate() {
    channel.start(0);
    channel.beginUpdate(0);
    channel.reserve(List.of(1), 90, ChannelPriority.TIMELY);
    channel.finishUpdate();
    channel.beginUpdate(40_000);
    assertEquals(60, channel.backlogLines(), 1e-9);
    assertEquals(60_000, channel.drainTimeUs(), 1e-6);
    channel.beginUpdate(SECOND_US);
    assertEquals(0, channel.backlogLines());
    assertTrue(channel.isNearlyIdle());
  }

  @Test
  void aLateAcknowledgementHalvesTheRateAtMost() {
    channel.start(0);
    channel.beginUpdate(0);
    channel.reserve(List.of(1), 90, ChannelPriority.TIMELY);
    channel.finishUpdate();
    channel.onAcknowledgement(1, 1, 10 * SECOND_US);
    assertEquals(200_000, channel.drainTimeUs(), 1e-6);
    channel.onAcknowledgement(1, 1, 10 * SECOND_US);
    assertEquals(200_000, channel.drainTimeUs(), 1e-6, "a second acknowledgement changes nothing");
  }

  @Test
  void unacknowledgedLinesAreLimitedEvenAfterTheBacklogHasDrained() {
    channel.start(0);
    channel.beginUpdate(0);
    assertTrue(channel.reserve(List.of(1), 440, ChannelPriority.EJECTION));
    channel.finishUpdate();
    channel.beginUpdate(SECOND_US);
    assertEquals(0, channel.backlogLines());
    assertFalse(channel.fits(226, ChannelPriority.EJECTION), "250 lines may still be in transit");
    assertTrue(channel.fits(225, ChannelPriority.EJECTION));
    channel.onAcknowledgement(1, 1, SECOND_US / 2);
    assertTrue(channel.fits(226, ChannelPriority.EJECTION));
  }
}
