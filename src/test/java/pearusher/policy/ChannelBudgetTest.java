package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
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

  private static List<Integer> proxies(int count) {
    return IntStream.range(0, count).boxed().toList();
  }

  /**
   * Guards against updates to the proxies of a large table that are deferred for ever: 30 proxies
   * with one line each take 330 lines, over the limit of 250 on an idle channel.
   */
  @Test
  void linesThatExceedTheLimitByThemselvesFitANearlyIdleChannel() {
    channel.beginUpdate(0);
    assertTrue(channel.reserve(List.of(40), 80, ChannelPriority.DEFERRABLE));
    assertFalse(channel.reserve(proxies(30), 1, ChannelPriority.DEFERRABLE), "90 lines wait");
    channel.beginUpdate(SECOND_US);
    assertTrue(channel.reserve(proxies(30), 1, ChannelPriority.DEFERRABLE));
    assertTrue(
        channel.reserve(proxies(30), 2, ChannelPriority.DEFERRABLE),
        "further lines share the messages");
    assertFalse(channel.reserve(proxies(30), 1, ChannelPriority.DEFERRABLE));
    assertFalse(channel.reserve(List.of(40), 1, ChannelPriority.DEFERRABLE), "no small update");
    assertEquals(3 * 30 + 300, channel.backlogLines());
  }

  /** Guards against silence about updates that no channel state admits. */
  @Test
  void linesThatExceedTheChannelAreNotReservedAndLogged() {
    channel.beginUpdate(0);
    for (int attempt = 0; attempt < 5; attempt++) {
      assertFalse(channel.reserve(proxies(44), 1, ChannelPriority.EJECTION));
    }
    assertEquals(0, channel.backlogLines());
    assertEquals(
        Stream.of(1, 2, 4)
            .map(
                count ->
                    "log[update channel too small: "
                        + count
                        + " updates deferred so far, the last: 484 lines for 44 proxies, of 475"
                        + " that the channel holds]")
            .toList(),
        log.lines);
  }
}
