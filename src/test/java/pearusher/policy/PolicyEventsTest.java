package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Unexpected and unsupported events, and timers of early control periods. */
class PolicyEventsTest {
  @Test
  void sliceAssignmentsAreLoggedAsUnsupported() {
    PolicyFixture fixture =
        new PolicyFixture(new PolicySettingsBuilder().idempotentRequestsOnly().slices(16).build());
    fixture.start(TestServers.readyServers(8, 2), 4);
    fixture.policy.onSliceAssignment(fixture.nowUs, 1, true);
    fixture.runPeriods(3);
    assertTrue(fixture.commands.tableByProxy.isEmpty());
    assertTrue(
        fixture.commands.logLines.stream()
            .anyMatch(line -> line.contains("slices are not served")));
  }

  @Test
  void eventsOfUnknownServersProxiesAndTimersChangeNothing() {
    PolicyFixture fixture = PolicyFixture.started(4, 2);
    fixture.runPeriods(3);
    int before = fixture.commands.issued.size();
    fixture.reportLoad(99, 0, 5, 0, PolicyFixture.SECOND_US, 1000);
    fixture.reportLoad(1, 9, 5, 0, PolicyFixture.SECOND_US, 1000);
    fixture.reportLoad(1, 0, 0, 0, 0, 0);
    fixture.reportUsage(99, 0, 5, 0, PolicyFixture.SECOND_US);
    fixture.reportUsage(0, 9, 5, 0, PolicyFixture.SECOND_US);
    fixture.reportUsage(0, 0, 5, 0, 0);
    fixture.policy.onHealthCheckResult(
        fixture.nowUs, 99, HealthCheckResult.UNREACHABLE, 0, PolicyFixture.NO_LOAD);
    fixture.policy.onAcknowledgement(fixture.nowUs, 99, 1, 0);
    fixture.policy.onProxyLeft(fixture.nowUs, 99);
    fixture.policy.onTimer(fixture.nowUs, 77);
    fixture.sendEndpointList(
        ListUpdateKind.DELTA, List.of(TestServers.serverIn(50, 0, Lifecycle.REMOVED)));
    fixture.endBatch();
    assertEquals(before, fixture.commands.issued.size());
    fixture.join(0, true);
    fixture.endBatch();
    assertTrue(
        fixture.commands.issuedSince(before).contains(new RecordedCommand.BindProxy(0, 0, 0)));
  }

  /**
   * Reports that arrive a little early start control periods of their own. Guards against timers
   * that accumulate, one for each such period: they ran control periods on partial reports, and
   * their number grew without bound.
   */
  @Test
  void earlyControlPeriodsDoNotAccumulateTimers() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    TreeMap<Long, Integer> dueTimers = new TreeMap<>();
    int scannedCommands = 0;
    int nextHalf = 0;
    for (int i = 0; i < 400; i++) {
      fixture.advance(PolicyFixture.SECOND_US / 10);
      for (; scannedCommands < fixture.commands.issued.size(); scannedCommands++) {
        if (fixture.commands.issued.get(scannedCommands) instanceof RecordedCommand.SetTimer timer
            && timer.token() == PolicyFixture.CONTROL_PERIOD_TIMER) {
          dueTimers.merge(fixture.nowUs + timer.delayUs(), 1, Integer::sum);
        }
      }
      while (!dueTimers.isEmpty() && dueTimers.firstKey() <= fixture.nowUs) {
        for (int k = dueTimers.pollFirstEntry().getValue(); k > 0; k--) {
          fixture.fireTimer(PolicyFixture.CONTROL_PERIOD_TIMER);
          fixture.endBatch();
        }
      }
      // The reports of a period arrive in two halves, the second one 0.3 s after the first.
      if (i % 9 == 0 || i % 9 == 3) {
        for (long id = 1L + nextHalf++ % 2; id <= 8; id += 2) {
          fixture.reportLoad(id, 0, 9, 0, PolicyFixture.SECOND_US, 200_000);
        }
      }
      fixture.endBatch();
      assertTrue(
          dueTimers.values().stream().mapToInt(k -> k).sum() <= 3,
          "more than 3 pending timers: " + dueTimers);
    }
  }
}
