package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Hold after a restart: binds and admission levels wait for reports of the fleet. */
class RestartHoldTest {
  private static final int ALL_TABLES = 65535;

  @Test
  void proxiesWithTablesAreBoundAfterReportsOfTheFleet() {
    PolicyFixture fixture = new PolicyFixture();
    fixture.sendEndpointList(ListUpdateKind.CACHED, TestServers.readyServers(8, 2));
    fixture.join(0, false);
    fixture.join(1, true);
    fixture.endBatch();
    assertFalse(fixture.commands.tableByProxy.containsKey(0));
    assertTrue(fixture.commands.tableByProxy.containsKey(1));
    fixture.advance(10_000);
    fixture.updateEndpoints(
        ListUpdateKind.DELTA, List.of(TestServers.serverIn(1, 1, Lifecycle.REMOVED)));
    fixture.advance(700_000);
    fixture.endPacedBatch();
    for (int proxy = 2; proxy < 8; proxy++) {
      fixture.join(proxy, false);
      fixture.advance(10_000);
      fixture.endBatch();
    }
    fixture.advance(700_000);
    fixture.endPacedBatch();
    assertEquals(
        3,
        fixture.commands.issued.stream().filter(new RecordedCommand.Eject(1)::equals).count(),
        "proxies that join with tables get the ejections together");
    fixture.runPeriods(4);
    assertTrue(fixture.commands.tableByProxy.containsKey(0));
    assertTrue(fixture.commands.tableByProxy.containsKey(2));
  }

  /**
   * After a restart, reports are partial. Guards against requests missing from them that count as
   * rejected.
   */
  @Test
  void admissionIsNotInferredFromPartialReportsAfterARestart() {
    PolicyFixture fixture = new PolicyFixture();
    fixture.sendEndpointList(ListUpdateKind.CACHED, TestServers.readyServers(30, 2));
    for (int proxy = 0; proxy < 160; proxy++) {
      fixture.join(proxy, false);
    }
    fixture.endBatch();
    for (int i = 0; i < 4; i++) {
      fixture.advance(PolicyFixture.SECOND_US);
      for (long id = 1L + i % 3; id <= 30; id += 3) {
        fixture.reportLoad(id, 0, 16, 0, PolicyFixture.SECOND_US, 200_000);
      }
      for (int proxy = 0; proxy < 160; proxy++) {
        fixture.reportUsage(proxy, 0, 3, 0, PolicyFixture.SECOND_US);
      }
      fixture.endBatch();
    }
    assertEquals(List.of(), fixture.commands.logLines);
    assertTrue(
        fixture.commands.admissionByClass.values().stream().allMatch(level -> level >= 1),
        "levels below 1: " + fixture.commands.admissionByClass);
    assertTrue(fixture.commands.tableByProxy.size() > 0);
  }

  @Test
  void admissionIsInferredFromCompleteReportsAndSetByTableAfterARestart() {
    PolicyFixture fixture = new PolicyFixture();
    fixture.sendEndpointList(ListUpdateKind.CACHED, TestServers.readyServers(8, 2));
    for (int proxy = 0; proxy < 4; proxy++) {
      fixture.join(proxy, false);
    }
    fixture.endBatch();
    fixture.attemptsPerZone = 0;
    for (int i = 0; i < 3; i++) {
      for (long id = 1; id <= 8; id++) {
        fixture.reportLoad(id, 0, 5, 0, PolicyFixture.SECOND_US, 200_000);
      }
      fixture.runPeriod();
    }
    assertTrue(
        fixture.commands.issued(RecordedCommand.SetAdmission.class).stream()
            .noneMatch(command -> command.table() == ALL_TABLES));
    assertTrue(
        fixture.commands.admissionByClass.get(1) < 0.7, "only half of the requests were attempted");
    assertTrue(fixture.commands.tableByProxy.size() == 4);
  }
}
