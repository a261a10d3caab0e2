package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Admission levels that follow the utilization returned by health checks. */
class UtilizationPollingTest {
  /**
   * Load reports show the start and the end of an overload some seconds late; health checks show
   * them without that delay.
   */
  @Test
  void admissionFollowsThePolledUtilization() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    fixture.runPeriodsAtUtilization(6, 0.5);
    assertTrue(
        fixture.commands.admissionByClass.values().stream().allMatch(l -> l >= 1),
        "" + fixture.commands.admissionByClass);
    fixture.runPeriodsAtUtilization(3, 0.97);
    double admissionProbability = fixture.commands.admissionByClass.getOrDefault(1, 1.0);
    assertTrue(
        admissionProbability < 0.8,
        "admitted share with good reports and high utilization: " + admissionProbability);
    fixture.runPeriodsAtUtilization(12, 0.4);
    assertEquals(
        1,
        fixture.commands.admissionByClass.get(1),
        "all requests are admitted after the overload");
  }

  @Test
  void loadOfDrainingServersIsAttributedToTheRemainingServers() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    fixture.runPeriodsAtUtilization(6, 0.5);
    fixture.updateEndpoints(ListUpdateKind.DELTA, TestServers.drainingServers(1, 5));
    fixture.runPeriodsAtUtilization(1, 0.5);
    assertTrue(
        fixture.commands.admissionByClass.getOrDefault(1, 1.0) < 1,
        "half the capacity of 8 servers exceeds the capacity of 3");
  }

  @Test
  void slowResponsesAtLowUtilizationShedNoLoad() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    fixture.runPeriodsAtUtilization(6, 0.5);
    fixture.failAll(0.4, 900);
    fixture.runPeriodsAtUtilization(4, 0.4);
    assertTrue(
        fixture.commands.admissionByClass.values().stream().allMatch(l -> l >= 1),
        "" + fixture.commands.admissionByClass);
    assertFalse(
        fixture.commands.logLines.contains("overload started"), "" + fixture.commands.logLines);
  }

  /**
   * A health check that is in flight when its server leaves does not show the load of the remaining
   * servers. Guards against an overload detected from such results.
   */
  @Test
  void healthCheckResultsOfADrainingServerAreIgnored() {
    for (boolean isDraining : new boolean[] {true, false}) {
      PolicyFixture fixture = PolicyFixture.started(8, 8);
      fixture.runPeriods(8);
      if (isDraining) {
        fixture.updateEndpoints(
            ListUpdateKind.DELTA, List.of(TestServers.serverIn(1, 1, Lifecycle.DRAINING)));
      }
      for (int k = 0; k < 5; k++) {
        for (int check = 0; check < 4; check++) {
          fixture.policy.onHealthCheckResult(
              fixture.nowUs, isDraining ? 1 : 2, HealthCheckResult.OK, 3000, new float[] {1});
        }
        fixture.runPeriod();
      }
      assertEquals(
          !isDraining,
          fixture.commands.logLines.contains("overload started"),
          "draining: " + isDraining);
    }
  }
}
