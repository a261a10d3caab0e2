package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Weights of new and restarted servers: the initial weight, the ramp, and the conditions under
 * which they are not listed yet.
 */
class SlowStartTest {
  private static boolean setsWeight(List<RecordedCommand> commands, int table, long server) {
    return commands.stream()
        .filter(RecordedCommand.SetWeight.class::isInstance)
        .map(RecordedCommand.SetWeight.class::cast)
        .anyMatch(command -> command.table() == table && command.server() == server);
  }

  private static boolean isListed(PolicyFixture fixture, long server) {
    return fixture.commands.weightsByTable.get(0).containsKey(server);
  }

  private static void addNewServer(PolicyFixture fixture, long server) {
    fixture.sendEndpointList(
        ListUpdateKind.DELTA, List.of(TestServers.readyServer(server, 1, fixture.nowUs)));
  }

  @Test
  void newServerStartsAtATenthAndRampsUp() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    fixture.runPeriods(4);
    fixture.advance(10_000);
    fixture.updateEndpoints(
        ListUpdateKind.DELTA, List.of(TestServers.readyServer(9, 1, fixture.nowUs)));
    fixture.runPeriod();
    double first = fixture.commands.share(0, 9) / fixture.commands.share(0, 3);
    assertTrue(first > 0.05 && first < 0.25, "initial share relative to another server: " + first);
    double last = first;
    for (int i = 0; i < 4; i++) {
      fixture.runPeriods(2);
      double share = fixture.commands.share(0, 9) / fixture.commands.share(0, 3);
      assertTrue(share >= last, "the share fell from " + last + " to " + share);
      last = share;
    }
    fixture.runPeriods(12);
    assertEquals(1, fixture.commands.share(0, 9) / fixture.commands.share(0, 3), 0.2);
  }

  @Test
  void restartedServerIsReducedInTheBatchOfTheListUpdate() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    fixture.runPeriods(4);
    fixture.advance(300_000);
    fixture.updateEndpoints(
        ListUpdateKind.DELTA, List.of(TestServers.readyServer(1, 1, fixture.nowUs)));
    assertTrue(
        fixture.commands.share(0, 1) < 0.04,
        "share of a restarted server: " + fixture.commands.share(0, 1));
    assertTrue(
        fixture.commands.share(1, 1) < 0.04,
        "share of a restarted server: " + fixture.commands.share(1, 1));
  }

  @Test
  void returningServerIsReinstatedAfterItsSlowStartWeights() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    fixture.runPeriods(4);
    fixture.advance(300_000);
    fixture.updateEndpoints(
        ListUpdateKind.DELTA, List.of(TestServers.serverIn(1, 1, Lifecycle.REMOVED)));
    fixture.advance(300_000);
    int before = fixture.commands.issued.size();
    fixture.updateEndpoints(
        ListUpdateKind.DELTA, List.of(TestServers.readyServer(1, 1, fixture.nowUs)));
    List<RecordedCommand> commands = fixture.commands.issuedSince(before);
    int reinstated = commands.indexOf(new RecordedCommand.Reinstate(1));
    assertTrue(reinstated >= 0);
    for (int zone = 0; zone < 2; zone++) {
      assertTrue(
          setsWeight(commands.subList(0, reinstated), zone, 1),
          "its weight is set before its reinstatement");
      assertTrue(
          fixture.commands.share(zone, 1) < 0.04,
          "share at reinstatement: " + fixture.commands.share(zone, 1));
    }
  }

  @Test
  void serverInSlowStartIsNotListedDuringOverload() {
    PolicyFixture fixture = PolicyFixture.started(8, 4);
    fixture.runPeriods(4);
    for (long id = 1; id <= 8; id++) {
      fixture.failureShare.put(id, 0.6);
    }
    fixture.runPeriods(2);
    fixture.updateEndpoints(
        ListUpdateKind.DELTA, List.of(TestServers.readyServer(9, 1, fixture.nowUs)));
    fixture.runPeriods(3);
    assertFalse(isListed(fixture, 9), "proxies that avoid the failing servers would overload it");
    fixture.runPeriods(9);
    assertTrue(isListed(fixture, 9), "servers past slow start are listed even during overload");
  }

  @Test
  void serverInSlowStartIsNotListedWhileReportsLag() {
    for (long lagSeconds : new long[] {0, 5}) {
      PolicyFixture fixture = PolicyFixture.started(8, 4);
      fixture.advance(lagSeconds * PolicyFixture.SECOND_US);
      fixture.runPeriods(4);
      fixture.updateEndpoints(
          ListUpdateKind.DELTA, List.of(TestServers.readyServer(9, 1, fixture.nowUs)));
      fixture.runPeriods(3);
      assertEquals(lagSeconds == 0, isListed(fixture, 9), "report lag of " + lagSeconds + " s");
    }
  }

  @Test
  void smallFallOfTheSuccessRateKeepsServersInSlowStartUnlisted() {
    for (double failureShare : new double[] {0.02, 0.1}) {
      PolicyFixture fixture = PolicyFixture.started(8, 4);
      fixture.runPeriods(4);
      fixture.failAll(failureShare, 200);
      fixture.advance(10_000);
      addNewServer(fixture, 9);
      fixture.runPeriod();
      assertEquals(
          failureShare < 0.05, isListed(fixture, 9), "success rate fell by " + failureShare);
    }
  }

  /**
   * Most proxies have no request in most periods, some are silent, and some reports are lost; none
   * of this is report lag. Guards against a fleet that never lists its new servers because the lags
   * of such proxies add up.
   */
  @Test
  void idleAndSilentProxiesDoNotCountAsReportLag() {
    PolicyFixture fixture = PolicyFixture.started(8, 24);
    for (int i = 0; i < 60; i++) {
      fixture.advance(PolicyFixture.SECOND_US);
      for (long id = 1; id <= 8; id++) {
        fixture.reportLoad(id, 0, 20, 0, PolicyFixture.SECOND_US, 200_000);
      }
      for (int proxy = 0; proxy < 24; proxy++) {
        // A third is silent from the first period on, a third is idle most of the time, and a third
        // loses some reports.
        if ((proxy % 3 == 1 && i % 9 == proxy % 9) || (proxy % 3 == 2 && (i + proxy) % 5 > 0)) {
          fixture.reportUsage(proxy, 0, 1, 0, PolicyFixture.SECOND_US);
        }
      }
      fixture.endBatch();
      fixture.acknowledgeAll(200_000);
      if (i == 54) {
        addNewServer(fixture, 999);
      }
    }
    assertTrue(isListed(fixture, 999), "listed although most proxies have not reported");
  }

  @Test
  void reportsInRotationDoNotCountAsReportLag() {
    PolicyFixture fixture = PolicyFixture.started(100, 40);
    for (int i = 0; i < 12; i++) {
      fixture.advance(PolicyFixture.SECOND_US);
      for (long id = 1L + i % 3; id <= 100; id += 3) {
        fixture.reportLoad(id, 0, 9, 0, 3 * PolicyFixture.SECOND_US, 200_000);
      }
      for (int proxy = i % 3; proxy < 40; proxy += 3) {
        fixture.reportUsage(proxy, 0, 30, 0, 3 * PolicyFixture.SECOND_US);
      }
      fixture.endBatch();
      fixture.acknowledgeAll(200_000);
      if (i == 6) {
        addNewServer(fixture, 999);
      }
    }
    assertTrue(isListed(fixture, 999), "listed although servers are reported in rotation");
  }
}
