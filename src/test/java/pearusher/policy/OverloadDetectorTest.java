package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Overload detection and the admitted share. The latency objective is one second; a mean response
 * time from 0.6 s on is overload.
 */
class OverloadDetectorTest {
  private final PolicyModules modules = new PolicyModules(new PolicySettingsBuilder().build());
  private final OverloadDetector overload =
      new OverloadDetector(
          modules.settings,
          modules.log.commands(),
          modules.clock,
          modules.cycle,
          modules.channel,
          modules.estimator,
          modules.utilization);

  private void runPeriods(int count, long failed, long meanUs) {
    for (int i = 0; i < count; i++) {
      modules.runPeriod(100, failed, meanUs);
      overload.update(modules.nowUs);
    }
  }

  private List<String> loggedLines() {
    return modules.log.lines.stream().filter(line -> line.startsWith("log")).toList();
  }

  @Test
  void slowResponsesCutTheAdmittedShareOnceUntilTheCutTakesEffect() {
    modules.listServers(4);
    runPeriods(1, 0, 900_000);
    assertTrue(overload.isOverloaded());
    assertEquals(0.7, overload.admittedShare(), 1e-12);
    runPeriods(1, 0, 900_000);
    assertEquals(
        0.7, overload.admittedShare(), 1e-12, "the reports describe the load before the cut");
  }

  @Test
  void admittedShareGrowsAfterTheOverload() {
    modules.listServers(4);
    runPeriods(1, 0, 900_000);
    runPeriods(1, 0, 100_000);
    assertEquals(0.7 * 1.15, overload.admittedShare(), 1e-12);
    assertTrue(overload.isOverloaded(), "the overload lasts until all requests are admitted");
    runPeriods(10, 0, 100_000);
    assertEquals(1, overload.admittedShare());
    assertFalse(overload.isOverloaded());
    assertEquals(List.of("log[overload started]", "log[overload ended]"), loggedLines());
  }

  @Test
  void failuresIndicateOverloadOnlyIfResponsesAreSlowerAsWell() {
    modules.listServers(4);
    runPeriods(3, 0, 200_000);
    runPeriods(3, 30, 200_000);
    assertFalse(overload.isOverloaded());
    runPeriods(1, 30, 400_000);
    assertTrue(overload.isOverloaded());
    assertEquals(0.7, overload.admittedShare(), 1e-12, "reduced by the share of failed attempts");
  }

  @Test
  void periodWithoutReportsChangesNothing() {
    modules.listServers(4);
    runPeriods(1, 0, 900_000);
    modules.nowUs += 10 * PolicyModules.SECOND_US;
    modules.estimator.endPeriod(modules.clock.beginPeriod(modules.nowUs));
    overload.update(modules.nowUs);
    assertTrue(overload.isOverloaded());
    assertEquals(0.7, overload.admittedShare(), 1e-12);
  }

  @Test
  void restoredShareNearOneIsNoOverload() {
    overload.restoreOverload();
    overload.restoreAdmittedShare(0.9);
    assertFalse(overload.isOverloaded());
    assertEquals(1, overload.admittedShare());
    overload.restoreAdmittedShare(0.05);
    assertTrue(overload.isOverloaded());
    assertEquals(0.15, overload.admittedShare(), "the minimum share");
  }
}
