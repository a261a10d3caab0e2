package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Retry modes before, during and after an overload. */
class RetryPolicyTest {
  @Test
  void retriesAreDisabledDuringOverloadAndEnabledAfterIt() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    fixture.runPeriods(3);
    assertTrue(fixture.commands.retryByClass.values().stream().allMatch(r -> r <= 1));
    fixture.failAll(0.6, 500);
    fixture.runPeriods(3);
    assertEquals(0, fixture.commands.retryByClass.get(1));
    assertEquals(0, fixture.commands.retryByClass.get(2));
    assertTrue(fixture.commands.logLines.contains("overload started"));
    fixture.recoverAll();
    fixture.runPeriods(20);
    assertEquals(1, fixture.commands.retryByClass.get(1));
    assertTrue(fixture.commands.logLines.contains("overload ended"));
  }
}
