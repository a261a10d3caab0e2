package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Admission levels of two request classes with different priorities. */
class AdmissionLevelsTest {
  /** Request class 0, which has the lower priority weight. */
  private static final int LOW = 0;

  private static final int HIGH = 1;

  /** Two proxies with 30 and 70 requests per second of each of the two classes. */
  private static AdmissionLevels levels(AdmissionMode mode) {
    PolicyModules modules =
        new PolicyModules(new PolicySettingsBuilder().admissionMode(mode).build());
    modules.join(1, 60);
    modules.join(2, 140);
    return new AdmissionLevels(modules.settings, modules.proxies);
  }

  @Test
  void allRequestsAreAdmittedInitially() {
    assertEquals(1, levels(AdmissionMode.SHARE).level(LOW));
    assertEquals(
        AdmissionLevels.UNLIMITED_REQUESTS_PER_SECOND, levels(AdmissionMode.RATE).level(LOW));
  }

  @Test
  void lowestPriorityIsShedFirst() {
    AdmissionLevels levels = levels(AdmissionMode.SHARE);
    levels.update(0.75);
    assertEquals(0.5, levels.level(LOW), 1e-12);
    assertEquals(1, levels.level(HIGH));
  }

  @Test
  void eachClassKeepsTheMinimumShare() {
    AdmissionLevels levels = levels(AdmissionMode.SHARE);
    levels.update(0.4);
    assertEquals(0.03, levels.level(LOW), 1e-12);
    assertEquals(0.77, levels.level(HIGH), 1e-12);
  }

  @Test
  void rateLimitAffectsTheProxiesWithTheHighestRates() {
    AdmissionLevels levels = levels(AdmissionMode.RATE);
    levels.update(0.9);
    assertEquals(
        50,
        levels.level(LOW),
        1e-9,
        "30 requests per second of one proxy and 50 of the other are admitted");
    assertEquals(AdmissionLevels.UNLIMITED_REQUESTS_PER_SECOND, levels.level(HIGH));
    levels.update(0.75);
    assertEquals(25, levels.level(LOW), 1e-9, "25 requests per second of each proxy are admitted");
  }

  @Test
  void restoredLevelIsAppliedOnlyIfItIsLower() {
    AdmissionLevels levels = levels(AdmissionMode.SHARE);
    levels.restore(LOW, 0.4);
    levels.restore(LOW, 0.8);
    assertEquals(0.4, levels.level(LOW));
  }

  @Test
  void levelIsOneWithoutAdmissionControl() {
    AdmissionLevels levels = levels(AdmissionMode.NONE);
    levels.update(0.4);
    assertEquals(1, levels.level(LOW));
  }
}
