package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class ProxyStateTest {
  private static final long SECOND_US = PolicyFixture.SECOND_US;

  private final ProxyState proxy = new ProxyState(0, true, 2, 10 * SECOND_US);

  @Test
  void theReportLagIsTheTimeSinceJoiningThatNoReportCovers() {
    assertFalse(proxy.hasReported());
    proxy.recordReport(12 * SECOND_US, 0, SECOND_US);
    assertTrue(proxy.hasReported());
    assertEquals(2 * SECOND_US, proxy.reportLagUs(13 * SECOND_US));
  }

  @Test
  void aGapIsTheTimeBetweenTheSpansOfTwoReportsOfAClass() {
    assertEquals(0, proxy.reportGapUs(12 * SECOND_US, 0, SECOND_US), "first report of the class");
    proxy.recordReport(12 * SECOND_US, 0, SECOND_US);
    assertEquals(2 * SECOND_US, proxy.reportGapUs(15 * SECOND_US, 0, SECOND_US));
    assertEquals(0, proxy.reportGapUs(15 * SECOND_US, 1, SECOND_US));
  }

  @Test
  void demandIsAveragedWithTheDecayAsWeight() {
    proxy.updateDemand(0, 0.5, 40, 2 * SECOND_US);
    assertEquals(10, proxy.totalRequestsPerSecond(), 1e-12);
    proxy.updateDemand(0, 0.5, 40, 2 * SECOND_US);
    assertEquals(15, proxy.totalRequestsPerSecond(), 1e-12);
  }

  @Test
  void messagesOlderThanTheWindowAreRemoved() {
    proxy.recordMessage(SECOND_US);
    proxy.recordMessage(2 * SECOND_US);
    proxy.removeExpiredMessages(4 * SECOND_US, 3 * SECOND_US);
    assertEquals(1, proxy.recentMessageCount());
  }

  @Test
  void missingLinesAreReturnedOnce() {
    proxy.setMissingLines(OptionalInt.of(3));
    assertEquals(OptionalInt.of(3), proxy.pollMissingLines());
    assertEquals(OptionalInt.empty(), proxy.pollMissingLines());
  }
}
