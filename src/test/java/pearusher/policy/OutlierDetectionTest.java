package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Weight of servers that fail more often than the others, during the failures and after recovery.
 */
class OutlierDetectionTest {
  @Test
  void quicklyFailingServerLosesWeightAndRegainsItAfterRecovery() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    fixture.runPeriods(5);
    fixture.latencyMs.put(1L, 50.0);
    fixture.failureShare.put(1L, 0.9);
    fixture.runPeriods(10);
    assertTrue(
        fixture.commands.share(0, 1) < 0.04,
        "share of a server that fails quickly: " + fixture.commands.share(0, 1));
    assertTrue(fixture.commands.weightsByTable.get(0).containsKey(1L), "an outlier stays listed");
    assertTrue(fixture.commands.logLines.contains("server 1 is an outlier"));
    fixture.failureShare.remove(1L);
    fixture.latencyMs.put(1L, 200.0);
    fixture.attemptsPerZone = 400;
    fixture.runPeriods(20);
    assertTrue(
        fixture.commands.share(0, 1) > 0.08,
        "share after recovery: " + fixture.commands.share(0, 1));
    assertTrue(fixture.commands.logLines.contains("server 1 recovered"));
  }

  @Test
  void noServerIsAnOutlierIfAllFailEqually() {
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
  void serverWhoseAttemptsAllFailLosesWeight() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    fixture.runPeriods(5);
    fixture.failureShare.put(1L, 1.0);
    fixture.runPeriods(6);
    assertTrue(
        fixture.commands.share(0, 1) < 0.05,
        "share of a server whose attempts all fail: " + fixture.commands.share(0, 1));
  }

  @Test
  void crashedServerLosesWeightDespiteEarlierSuccesses() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    fixture.runPeriods(15);
    fixture.failureShare.put(1L, 1.0);
    fixture.runPeriods(6);
    double share = fixture.commands.share(0, 1);
    assertTrue(share < 0.06, "share of a crashed server: " + share);
  }

  @Test
  void serverThatFailsAndRecoversWithoutListUpdateRegainsWeightInBoundedSteps() {
    PolicyFixture fixture = PolicyFixture.started(40, 12);
    fixture.attemptsPerZone = 400;
    fixture.runPeriods(6);
    double evenShare = fixture.commands.share(0, 1);
    for (int round = 0; round < 4; round++) {
      fixture.failureShare.put(1L, 1.0);
      fixture.runPeriods(5);
      assertTrue(
          fixture.commands.share(0, 1) < 0.4 * evenShare,
          "share of the failing server, relative to an even share: "
              + fixture.commands.share(0, 1) / evenShare);
      fixture.failureShare.remove(1L);
      double last = fixture.commands.share(0, 1);
      for (int i = 0; i < 5; i++) {
        fixture.runPeriod();
        assertTrue(
            fixture.commands.share(0, 1) <= Math.max(1.6 * last, 0.45 * evenShare),
            "the share rises too fast after recovery");
        last = fixture.commands.share(0, 1);
      }
    }
    assertTrue(fixture.commands.ejected.isEmpty(), "no ejection without a list update");
  }
}
