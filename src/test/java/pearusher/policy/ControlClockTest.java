package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Times at which a control period is due, with and without load reports. */
class ControlClockTest {
  private static final long PERIOD_US = 1_000_000;
  private static final long START_US = 50_000_000;

  private final CommandLog log = new CommandLog();
  private final ControlClock clock = new ControlClock(PERIOD_US, log.commands());

  @BeforeEach
  void start() {
    clock.start(START_US);
    clock.beginPeriod(START_US);
    log.lines.clear();
  }

  @Test
  void periodWithReportsIsDueAfterFourFifths() {
    clock.onLoadReport();
    assertFalse(clock.isPeriodDue(START_US + 799_999));
    assertTrue(clock.isPeriodDue(START_US + 800_000));
  }

  @Test
  void periodWithoutReportsIsDueThreeTenthsLate() {
    assertFalse(clock.isPeriodDue(START_US + 999_999), "no timer has fired");
    clock.onTimer(START_US + PERIOD_US);
    assertFalse(clock.isPeriodDue(START_US + PERIOD_US));
    assertEquals(List.of("setTimer[300000, 1]"), log.lines);
    clock.onTimer(START_US + 1_300_000);
    assertTrue(clock.isPeriodDue(START_US + 1_300_000));
  }

  @Test
  void reportDuringTheExtendedWaitMakesThePeriodDue() {
    clock.onTimer(START_US + PERIOD_US);
    assertFalse(clock.isPeriodDue(START_US + PERIOD_US));
    clock.onLoadReport();
    assertTrue(clock.isPeriodDue(START_US + PERIOD_US + 1));
  }

  @Test
  void timerOfAnEarlierPeriodIsIgnored() {
    clock.onLoadReport();
    clock.beginPeriod(START_US + 800_000);
    clock.onTimer(START_US + PERIOD_US);
    assertFalse(clock.isPeriodDue(START_US + 2_200_000));
    clock.onTimer(START_US + 1_800_000);
    assertTrue(clock.isPeriodDue(START_US + 2_200_000));
  }

  @Test
  void beginPeriodReturnsTheLengthAndRecordsWhetherReportsArrived() {
    assertFalse(clock.periodHasReports());
    assertEquals(0, clock.periodsWithReports());
    clock.onLoadReport();
    assertEquals(900_000, clock.beginPeriod(START_US + 900_000));
    assertTrue(clock.periodHasReports());
    assertEquals(1, clock.periodsWithReports());
    clock.beginEarlyRecompute();
    assertFalse(clock.periodHasReports());
    assertEquals(1_300_000, clock.beginPeriod(START_US + 2_200_000));
    assertFalse(clock.periodHasReports());
    assertEquals(1, clock.periodsWithReports());
  }
}
