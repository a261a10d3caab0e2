package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Ejection of draining and removed servers, and reports of possible earlier ejections. */
class EjectionTest {
  @Test
  void drainingAndRemovedServersAreEjectedAheadOfWeights() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    fixture.runPeriods(2);
    fixture.advance(10_000);
    int before = fixture.commands.issued.size();
    fixture.updateEndpoints(
        ListUpdateKind.DELTA,
        List.of(
            TestServers.serverIn(1, 1, Lifecycle.DRAINING),
            TestServers.serverIn(2, 0, Lifecycle.REMOVED)));
    List<RecordedCommand> commands = fixture.commands.issuedSince(before);
    assertEquals(new RecordedCommand.Eject(1), commands.get(0));
    assertEquals(new RecordedCommand.Eject(2), commands.get(1));
    fixture.runPeriods(2);
    assertFalse(fixture.commands.weightsByTable.get(0).containsKey(1L));
    fixture.updateEndpoints(
        ListUpdateKind.DELTA, List.of(TestServers.readyServer(1, 1, fixture.nowUs)));
    assertFalse(fixture.commands.ejected.contains(1L));
  }

  @Test
  void aServerMissingFromACompleteListIsEjected() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    fixture.updateEndpoints(ListUpdateKind.COMPLETE, TestServers.readyServers(7, 2));
    assertTrue(fixture.commands.ejected.contains(8L));
    fixture.updateEndpoints(ListUpdateKind.FAILED, List.of());
    assertEquals(1, fixture.commands.ejected.size());
    fixture.updateEndpoints(ListUpdateKind.COMPLETE, List.of());
    assertEquals(8, fixture.commands.ejected.size());
  }

  /** Servers that the start knows and that started long ago are no risk for confirmed proxies. */
  @Test
  void serversKnownAtTheStartAreAtRiskOnlyForUnconfirmedProxies() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    assertEquals(8, fixture.commands.staleEjectionRisks.size());
    assertFalse(fixture.commands.staleEjectionRisks.values().contains(true));
  }

  /**
   * Guards against a proxy that excludes a returned server permanently: an id that is new to this
   * instance, also one whose server started after it, may be that of a server that an earlier
   * process or another instance has ejected.
   */
  @Test
  void serversThatAreListedLaterMayBeExcludedByAllProxies() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    fixture.advance(PolicyFixture.SECOND_US);
    fixture.updateEndpoints(
        ListUpdateKind.DELTA,
        List.of(
            TestServers.readyServer(100, 0, fixture.nowUs),
            TestServers.readyServer(101, 0, 0),
            TestServers.readyServer(1, 1, fixture.nowUs),
            TestServers.serverIn(2, 0, Lifecycle.DRAINING)));
    for (long id : List.of(100L, 101L, 1L, 2L)) {
      assertEquals(
          true,
          fixture.commands.staleEjectionRisks.get(id),
          id + ": listed later, or not ready before");
    }
    fixture.updateEndpoints(
        ListUpdateKind.DELTA, List.of(TestServers.serverIn(100, 0, Lifecycle.REMOVED)));
    assertTrue(fixture.commands.staleEjectionRisks.get(100L));
    fixture.runPeriods(70);
    assertTrue(fixture.commands.discardedServers.contains(100L));
    fixture.updateEndpoints(
        ListUpdateKind.DELTA, List.of(TestServers.readyServer(102, 0, fixture.nowUs)));
    assertTrue(
        fixture.commands.staleEjectionRisks.get(102L), "the number may belong to a deleted server");
  }

  @Test
  void aRemovedServerIsDeletedAfterAMinute() {
    PolicyFixture fixture = PolicyFixture.started(8, 4).runPeriods(3);
    fixture.updateEndpoints(
        ListUpdateKind.DELTA,
        List.of(
            TestServers.serverIn(3, 1, Lifecycle.REMOVED),
            TestServers.serverIn(4, 0, Lifecycle.DRAINING)));
    fixture.runPeriods(50);
    assertEquals(List.of(), fixture.commands.discardedServers);
    fixture.runPeriods(15);
    assertEquals(
        List.of(3L),
        fixture.commands.discardedServers,
        "a draining server is not deleted, since it may return");
    fixture.updateEndpoints(ListUpdateKind.DELTA, List.of(TestServers.readyServer(3, 1, 0)));
    fixture.runPeriods(2);
    assertTrue(fixture.commands.weightsByTable.get(1).containsKey(3L));
  }
}
