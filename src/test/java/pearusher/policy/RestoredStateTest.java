package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Start with the state that an earlier process of the same assigner had published. */
class RestoredStateTest {
  private final PolicyFixture fixture = new PolicyFixture(new PolicySettingsBuilder().build());

  private void restoreTables(Map<Long, Double> weights, double admission, int retry) {
    for (int table = 0; table < 2; table++) {
      fixture.commands.weightsByTable.put(table, new TreeMap<>(weights));
      fixture.policy.onTableRestored(
          fixture.nowUs,
          table,
          weights,
          new double[] {admission, admission},
          new int[] {retry, retry},
          41);
    }
  }

  private static Map<Long, Double> unevenWeights() {
    return Map.of(1L, 0.4, 2L, 0.1, 3L, 0.3, 4L, 0.2);
  }

  private void joinWithTable(int proxy, int missingEntries) {
    fixture.join(proxy, false);
    fixture.policy.onProxyTableReported(fixture.nowUs, proxy, proxy % 2, missingEntries);
  }

  private int countWeightCommands() {
    return fixture.commands.issued(RecordedCommand.SetWeight.class).size();
  }

  @Test
  void aProxyWithARecentTableIsBoundAtOnceAndItsWeightsAreUnchanged() {
    fixture.sendEndpointList(ListUpdateKind.CACHED, TestServers.readyServers(4, 2));
    restoreTables(unevenWeights(), 1, 1);
    fixture.endBatch();
    fixture.advance(10_000);
    joinWithTable(0, 0);
    joinWithTable(1, 2);
    fixture.join(2, false);
    fixture.endBatch();
    assertEquals(
        Map.of(0, 0, 1, 1),
        fixture.commands.tableByProxy,
        "proxy 2 has an unknown table and waits");
    assertEquals(0, countWeightCommands(), "restored weights are not published again");
    assertEquals(42, fixture.commands.lastAckNumber, "acknowledgement numbers continue");
    fixture.runPeriod();
    for (long id = 1; id <= 4; id++) {
      double ratio = fixture.commands.share(0, id) / unevenWeights().get(id);
      assertTrue(
          ratio > 0.5 && ratio < 1.5,
          "a control period changes a weight by a bounded factor: " + ratio);
    }
    assertFalse(fixture.commands.tableByProxy.containsKey(2));
    fixture.runPeriods(4);
    assertTrue(fixture.commands.tableByProxy.containsKey(2));
  }

  /**
   * Counter-check: without restored state the weights become even, so that it is the restored state
   * that preserves them.
   */
  @Test
  void withoutRestoredStateWeightsBecomeEven() {
    fixture.sendEndpointList(ListUpdateKind.CACHED, TestServers.readyServers(4, 2));
    fixture.join(0, false);
    fixture.endBatch();
    fixture.runPeriods(4);
    assertTrue(countWeightCommands() >= 4);
    assertTrue(fixture.commands.share(0, 1) < 0.3);
  }

  /**
   * Guards against admission levels that are lifted and retries that are enabled after a crash
   * during an overload, before load reports have arrived.
   */
  @Test
  void duringOverloadAdmissionIsUnchangedAndRetriesAreNotEnabled() {
    fixture.sendEndpointList(ListUpdateKind.CACHED, TestServers.readyServers(4, 2));
    restoreTables(unevenWeights(), 0.5, 0);
    fixture.endBatch();
    for (int proxy = 0; proxy < 4; proxy++) {
      joinWithTable(proxy, 0);
    }
    fixture.endBatch();
    fixture.advance(PolicyFixture.SECOND_US / 2);
    fixture.endBatch();
    assertFalse(
        fixture.commands.hasIssued(RecordedCommand.SetAdmission.class),
        "admission changed before load reports: " + fixture.commands.issued);
    fixture.runPeriods(12);
    assertEquals(
        1, fixture.commands.retryByClass.get(1), "retries are enabled after evidence of recovery");
  }

  @Test
  void aDrainingServerIsNotReinstated() {
    fixture.sendEndpointList(
        ListUpdateKind.CACHED,
        List.of(
            TestServers.readyServer(1, 1, 0),
            TestServers.readyServer(2, 0, 0),
            TestServers.serverIn(3, 1, Lifecycle.DRAINING)));
    restoreTables(unevenWeights(), 1, 1);
    joinWithTable(0, 0);
    fixture.endBatch();
    assertTrue(fixture.commands.ejected.contains(3L));
    fixture.runPeriods(3);
    for (int table = 0; table < 2; table++) {
      assertFalse(fixture.commands.weightsByTable.get(table).containsKey(3L));
    }
  }

  @Test
  void aTableWithoutListedServersIsReplaced() {
    fixture.sendEndpointList(
        ListUpdateKind.CACHED,
        List.of(TestServers.readyServer(8, 0, 0), TestServers.readyServer(9, 1, 0)));
    restoreTables(unevenWeights(), 1, 1);
    joinWithTable(0, 0);
    fixture.join(1, true);
    fixture.commands.weightsByTable.clear();
    fixture.endBatch();
    assertEquals(Set.of(1), fixture.commands.tableByProxy.keySet());
    fixture.runPeriods(4);
    assertTrue(fixture.commands.tableByProxy.containsKey(0));
    assertEquals(0.5, fixture.commands.share(0, 8), 0.2);
  }

  /**
   * A proxy whose missing entries exceed the channel budget is bound later, to a complete table.
   */
  @Test
  void aProxyWithMoreMissingEntriesThanFitWaitsForACompleteTable() {
    fixture.sendEndpointList(ListUpdateKind.CACHED, TestServers.readyServers(4, 2));
    restoreTables(unevenWeights(), 1, 1);
    fixture.endBatch();
    joinWithTable(0, 5000);
    fixture.endBatch();
    assertFalse(fixture.commands.tableByProxy.containsKey(0));
    fixture.runPeriods(4);
    assertTrue(fixture.commands.tableByProxy.containsKey(0));
  }
}
