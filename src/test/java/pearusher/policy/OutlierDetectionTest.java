package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Servers that fail more than the others lose their weight, and regain it after recovery. */
class OutlierDetectionTest {
  @Test
  void aServerThatFailsFastLosesItsWeightAndRegainsItAfterRecovery() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    fixture.runPeriods(5);
    fixture.latencyMs.put(1L, 50.0);
    fixture.failureShare.put(1L, 0.9);
    fixture.runPeriods(10);
    assertTrue(
        fixture.commands.share(0, 1) < 0.04,
        "a fast failing server keeps " + fixture.commands.share(0, 1));
    assertTrue(fixture.commands.weightsByTable.get(0).containsKey(1L), "it stays listed");
    assertTrue(fixture.commands.logLines.contains("server 1 is an outlier"));
    fixture.failureShare.remove(1L);
    fixture.latencyMs.put(1L, 200.0);
    fixture.attemptsPerZone = 400;
    fixture.runPeriods(20);
    assertTrue(fixture.commands.share(0, 1) > 0.08, "back at " + fixture.commands.share(0, 1));
    assertTrue(fixture.commands.logLines.contains("server 1 recovered"));
  }

  @Test
  void whenAllServersFailAlikeNoneIsAnOutlier() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    for (long id = 1; id <= 8; id++) {
      fixture.failureShare.put(id, 0.5);
    }
    fixture.runPeriods(6);
    for (long id = 1; id <= 8; id++) {
      assertTrue(fixture.commands.share(0, id) > 0.06);
    }
  }

  @Test
  void aServerWhoseAttemptsAllFailLosesItsWeight() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    fixture.runPeriods(5);
    fixture.failureShare.put(1L, 1.0);
    fixture.runPeriods(6);
    assertTrue(
        fixture.commands.share(0, 1) < 0.05,
        "a server whose attempts fail keeps " + fixture.commands.share(0, 1));
  }

  @Test
  void aServerThatDiesLosesItsWeightDespiteAGoodHistory() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    fixture.runPeriods(15);
    fixture.failureShare.put(1L, 1.0);
    fixture.runPeriods(6);
    double share = fixture.commands.share(0, 1);
    assertTrue(share < 0.06, "a server that died keeps " + share);
  }

  @Test
  void aServerThatFailsAndRecoversUnannouncedRegainsWeightInBoundedSteps() {
    PolicyFixture fixture = PolicyFixture.started(40, 12);
    fixture.attemptsPerZone = 400;
    fixture.runPeriods(6);
    double even = fixture.commands.share(0, 1);
    for (int round = 0; round < 4; round++) {
      fixture.failureShare.put(1L, 1.0);
      fixture.runPeriods(5);
      assertTrue(
          fixture.commands.share(0, 1) < 0.4 * even,
          "down it keeps " + fixture.commands.share(0, 1) / even);
      fixture.failureShare.remove(1L);
      double last = fixture.commands.share(0, 1);
      for (int i = 0; i < 5; i++) {
        fixture.runPeriod();
        assertTrue(
            fixture.commands.share(0, 1) <= Math.max(1.6 * last, 0.45 * even),
            "a jump on its return");
        last = fixture.commands.share(0, 1);
      }
    }
    assertTrue(fixture.commands.ejected.isEmpty(), "no ejection without a list update");
  }
}
