package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Weights of servers by listed weight and response time, with hysteresis and bounded steps. */
class WeightsTest {
  @Test
  void newTablesListAllServersWithEqualWeightsThatSumToOne() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    for (int zone = 0; zone < 2; zone++) {
      assertEquals(8, fixture.commands.weightsByTable.get(zone).size());
      assertEquals(1, fixture.commands.totalWeight(zone), 1e-6);
      assertEquals(1 / 8.0, fixture.commands.share(zone, 3), 1e-9);
    }
    assertEquals(4, fixture.commands.tableByProxy.size());
  }

  @Test
  void newTablesFollowTheListedWeights() {
    PolicyFixture fixture = new PolicyFixture();
    fixture.start(
        List.of(
            new ServerEntry(1, 0, 0, 0, Lifecycle.READY, 2, 0),
            new ServerEntry(2, 0, 0, 0, Lifecycle.READY, 1, 0)),
        2);
    assertTrue(fixture.commands.share(0, 1) > 1.5 * fixture.commands.share(0, 2));
  }

  @Test
  void weightsAreInverseToTheResponseTime() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    fixture.attemptsPerZone = 2000;
    fixture.latencyMs.put(1L, 100.0);
    fixture.latencyMs.put(2L, 400.0);
    fixture.runPeriods(20);
    for (int zone = 0; zone < 2; zone++) {
      assertEquals(2, fixture.commands.share(zone, 1) / fixture.commands.share(zone, 3), 0.25);
      assertEquals(0.5, fixture.commands.share(zone, 2) / fixture.commands.share(zone, 3), 0.1);
      assertEquals(1, fixture.commands.totalWeight(zone), 0.1);
    }
  }

  @Test
  void weightsStayWithinTheHysteresisAndChangeByABoundedFactorPerPeriod() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    fixture.runPeriods(6);
    int before = fixture.commands.issued.size();
    fixture.latencyMs.put(1L, 204.0);
    fixture.runPeriods(3);
    assertTrue(
        fixture.commands.issuedSince(before).stream()
            .noneMatch(RecordedCommand.SetWeight.class::isInstance));
    fixture.latencyMs.put(1L, 20.0);
    double last = fixture.commands.share(0, 1);
    fixture.runPeriod();
    assertTrue(fixture.commands.share(0, 1) < 1.6 * last);
    assertTrue(fixture.commands.share(0, 1) > last);
  }

  @Test
  void weightsStayWithoutLoadReports() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    fixture.latencyMs.put(1L, 100.0);
    fixture.runPeriods(10);
    double before = fixture.commands.share(0, 1);
    for (int i = 0; i < 10; i++) {
      fixture.advance(2 * PolicyFixture.SECOND_US);
      fixture.fireTimer(PolicyFixture.CONTROL_PERIOD_TIMER);
      fixture.endBatch();
    }
    assertEquals(before, fixture.commands.share(0, 1), 1e-9);
  }

  @Test
  void theListedWeightRemainsAFactorOfTheWeight() {
    PolicyFixture fixture = new PolicyFixture();
    fixture.start(
        List.of(
            new ServerEntry(1, 0, 0, 0, Lifecycle.READY, 3, 0),
            new ServerEntry(2, 0, 0, 0, Lifecycle.READY, 2, 0)),
        2);
    fixture.runPeriods(20);
    assertEquals(1.5, fixture.commands.share(0, 1) / fixture.commands.share(0, 2), 0.1);
    fixture.latencyMs.put(2L, 400.0);
    fixture.attemptsPerZone = 2000;
    fixture.runPeriods(25);
    assertEquals(3, fixture.commands.share(0, 1) / fixture.commands.share(0, 2), 0.6);
  }

  @Test
  void commandsOfAPeriodGrowLinearlyWithTheServers() {
    double[] commandsPerServer = new double[2];
    for (int k = 0; k < 2; k++) {
      int serverCount = k == 0 ? 50 : 200;
      PolicyFixture fixture =
          new PolicyFixture().start(TestServers.readyServers(serverCount, 2), 8);
      fixture.attemptsPerZone = 10 * serverCount;
      fixture.runPeriods(5);
      int before = fixture.commands.issued.size();
      Random random = new Random(5);
      for (int i = 0; i < 10; i++) {
        for (long id = 1; id <= serverCount; id++) {
          fixture.latencyMs.put(id, 150 + 300 * random.nextDouble());
        }
        fixture.runPeriod();
      }
      commandsPerServer[k] = (fixture.commands.issued.size() - before) / 10.0 / serverCount;
    }
    String message =
        "commands per period and server, at most one per table: "
            + commandsPerServer[0]
            + ", "
            + commandsPerServer[1];
    assertTrue(
        commandsPerServer[0] > 0.1 && commandsPerServer[0] <= 2.5 && commandsPerServer[1] <= 2.5,
        message);
  }
}
