package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Overload detection and the admission levels of request classes. */
class AdmissionTest {
  /**
   * With report lines in rotation, each period has reports of a few servers. Guards against
   * shedding load of the complete fleet because the reports of the slow servers arrive in the same
   * period.
   */
  @Test
  void reportsOfSlowServersInOnePeriodAreNoOverload() {
    PolicyFixture fixture = PolicyFixture.started(40, 300);
    for (int i = 0; i < 40; i++) {
      fixture.advance(PolicyFixture.SECOND_US);
      for (long id = 1L + i % 4; id <= 40; id += 4) {
        fixture.reportLoad(
            id, 0, 9, 0, 4 * PolicyFixture.SECOND_US, i % 4 == 3 ? 800_000 : 150_000);
      }
      for (int proxy = i % 4; proxy < 300; proxy += 4) {
        fixture.reportUsage(proxy, 0, 30, 0, 4 * PolicyFixture.SECOND_US);
      }
      fixture.endBatch();
      fixture.acknowledgeAll(200_000);
    }
    assertFalse(
        fixture.commands.logLines.contains("overload started"),
        "the mean of all servers is 0.31 of the latency objective");
  }

  /**
   * Messages that change admission levels carry the message overhead already, and weights are added
   * to them. Guards against weights that are never sent during an overload of many proxies.
   */
  @Test
  void weightsAreSentTogetherWithAdmissionChanges() {
    PolicyFixture fixture = PolicyFixture.started(8, 90).runPeriods(3);
    int periodsWithBoth = 0;
    for (int i = 0; i < 12; i++) {
      fixture.failAll(i % 2 == 0 ? 0.2 : 0.6, 700 + 40 * i);
      fixture.latencyMs.put(1L + i % 4, 2500.0);
      fixture.commands.issued.clear();
      fixture.runPeriod();
      boolean changesAdmission = fixture.commands.hasIssued(RecordedCommand.SetAdmission.class);
      boolean changesWeights = fixture.commands.hasIssued(RecordedCommand.SetWeight.class);
      periodsWithBoth += changesAdmission && changesWeights ? 1 : 0;
    }
    assertTrue(periodsWithBoth > 0, "no message had both a weight and an admission level");
  }

  @Test
  void classOfLowestPriorityIsShedFirstAndAdmittedAfterTheOverload() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    fixture.runPeriods(3);
    fixture.failAll(0.4, 500);
    fixture.runPeriods(2);
    assertTrue(fixture.commands.admissionByClass.get(1) < 0.5);
    assertTrue(
        fixture.commands.admissionByClass.get(2) == null
            || fixture.commands.admissionByClass.get(2) > 0.9);
    fixture.recoverAll();
    fixture.runPeriods(20);
    assertEquals(1, fixture.commands.admissionByClass.get(1), 1e-9);
  }

  @Test
  void failuresWithoutSlowResponsesShedNoLoad() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    fixture.runPeriods(3);
    fixture.failAll(0.4, 200);
    fixture.runPeriods(6);
    assertFalse(
        fixture.commands.logLines.contains("overload started"),
        "failed connections are no sign of load");
    assertTrue(fixture.commands.admissionByClass.values().stream().allMatch(l -> l >= 1));
  }

  @Test
  void modeRateLimitsRequestsAndModeNoneAdmitsAll() {
    List<RequestClass> requestClasses =
        List.of(
            PolicySettingsBuilder.requestClass(Idempotency.IDEMPOTENT, 1),
            PolicySettingsBuilder.requestClass(Idempotency.IDEMPOTENT, 2));
    for (AdmissionMode admissionMode : List.of(AdmissionMode.RATE, AdmissionMode.NONE)) {
      PolicyFixture fixture =
          new PolicyFixture(
                  new PolicySettingsBuilder()
                      .admissionMode(admissionMode)
                      .requestClasses(requestClasses)
                      .build())
              .start(TestServers.readyServers(8, 2), 4);
      fixture.runPeriods(3);
      fixture.failAll(0.4, 500);
      fixture.runPeriods(3);
      double level = fixture.commands.admissionByClass.get(1);
      assertTrue(
          admissionMode == AdmissionMode.RATE ? level < 10 : level == 1,
          admissionMode + " " + level);
    }
  }

  /**
   * Reports of an overload arrive gradually. Guards against a small first reduction that delays the
   * next one.
   */
  @Test
  void reportsThatArriveBeforeAReductionTakesEffectIncreaseIt() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    fixture.runPeriods(6);
    fixture.failAll(0.15, 650);
    fixture.runPeriods(1);
    double first = fixture.commands.admissionByClass.get(1);
    assertTrue(first < 1);
    fixture.failAll(0.5, 900);
    fixture.runPeriods(1);
    assertTrue(
        fixture.commands.admissionByClass.get(1) < 0.8 * first,
        "reduced from " + first + " only to " + fixture.commands.admissionByClass.get(1));
  }

  @Test
  void admissionIsNotReducedAgainWhileAnOverloadClears() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    fixture.runPeriods(3);
    fixture.failAll(0.5, 700);
    fixture.runPeriods(2);
    double first = fixture.commands.admissionByClass.get(1);
    for (double failureShare : new double[] {0.38, 0.28, 0.2, 0.14}) {
      fixture.failAll(failureShare, 400);
      fixture.runPeriods(1);
    }
    assertTrue(
        fixture.commands.admissionByClass.get(1) >= first,
        "reduced again, from " + first + " to " + fixture.commands.admissionByClass.get(1));
  }
}
