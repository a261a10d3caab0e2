package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Join surges: proxies are bound within the drain grace period, to subsets if complete tables don't
 * fit.
 */
class JoinSurgeTest {
  private static final long TICK_US = 100_000;
  private static final int LINES_PER_TICK = ChannelModel.LINES_PER_SECOND / 10;

  /** Returns the drains of a tick: 40 servers at the first drain, and 40 more eight ticks later. */
  private static List<ServerEntry> drainingAt(int ticksSinceFirstDrain) {
    return switch (ticksSinceFirstDrain) {
      case 0 -> TestServers.drainingServers(1, 40);
      case 8 -> TestServers.drainingServers(41, 80);
      default -> List.of();
    };
  }

  @Test
  void hundredsOfServersAndProxiesThatJoinAtOnceFitTheBacklogAndAreBound() {
    PolicyFixture fixture = new PolicyFixture();
    fixture.sendEndpointList(ListUpdateKind.CACHED, TestServers.readyServers(300, 2));
    for (int proxy = 0; proxy < 300; proxy++) {
      fixture.join(proxy, true);
    }
    double backlogLines = 0;
    ChannelModel channel = new ChannelModel(fixture, ChannelModel.LINES_PER_SECOND, 200_000);
    for (int i = 0; i < 600 && fixture.commands.tableByProxy.size() < 300; i++) {
      int bound = fixture.commands.tableByProxy.size();
      fixture.advance(TICK_US);
      channel.deliverAcks();
      fixture.endPacedBatch();
      channel.send();
      int newlyBound = fixture.commands.tableByProxy.size() - bound;
      backlogLines += fixture.commands.linesThisBatch + ChannelModel.OVERHEAD_LINES * newlyBound;
      assertTrue(backlogLines <= ChannelModel.MAX_BACKLOG_LINES, "backlog lines " + backlogLines);
      backlogLines = Math.max(0, backlogLines - LINES_PER_TICK);
    }
    assertEquals(300, fixture.commands.tableByProxy.size());
    assertEquals(300, fixture.commands.weightsByTable.get(0).size());
  }

  /**
   * Guards against binds that exceed the backlog because their reinstatements are not counted: a
   * bind of a proxy with a table reinstates each server.
   */
  @Test
  void bindsOfProxiesWithTablesAreCountedWithTheirReinstatements() {
    PolicyFixture fixture = new PolicyFixture();
    fixture.sendEndpointList(ListUpdateKind.CACHED, TestServers.readyServers(100, 2));
    for (int proxy = 0; proxy < 100; proxy++) {
      fixture.join(proxy, false);
    }
    double backlogLines = 0;
    double longestBacklog = 0;
    for (int i = 0; i < 600 && fixture.commands.tableByProxy.size() < 100; i++) {
      int bound = fixture.commands.tableByProxy.size();
      fixture.advance(TICK_US);
      fixture.fireTimer(PolicyFixture.CONTROL_PERIOD_TIMER);
      fixture.endPacedBatch();
      int newlyBound = fixture.commands.tableByProxy.size() - bound;
      backlogLines +=
          fixture.commands.linesThisBatch + (ChannelModel.OVERHEAD_LINES + 100) * newlyBound;
      longestBacklog = Math.max(longestBacklog, backlogLines);
      backlogLines = Math.max(0, backlogLines - LINES_PER_TICK);
    }
    assertEquals(100, fixture.commands.tableByProxy.size());
    assertTrue(
        longestBacklog <= 0.9 * ChannelModel.MAX_BACKLOG_LINES, "backlog lines " + longestBacklog);
  }

  /**
   * Guards against proxies that use draining servers for too long: proxies of failed assigners join
   * while servers drain, and complete tables for all of them do not arrive within the drain grace
   * period.
   */
  @Test
  void proxiesWithOldTablesAreBoundWithinTheDrainGraceThoughCompleteTablesDoNotFit() {
    PolicySettings settings =
        new PolicySettingsBuilder().idempotentRequestsOnly().proxies(140).build();
    PolicyFixture fixture = new PolicyFixture(settings).start(TestServers.readyServers(100, 2), 20);
    fixture.runPeriods(8);
    for (int proxy = 20; proxy < 140; proxy++) {
      fixture.join(proxy, false);
    }
    fixture.commands.issued.clear();
    fixture.advance(0);
    fixture.sendEndpointList(ListUpdateKind.DELTA, TestServers.drainingServers(1, 20));
    ChannelModel channel = new ChannelModel(fixture, ChannelModel.LINES_PER_SECOND, 200_000);
    int boundInTime = 0;
    for (int i = 0; i < 19; i++) {
      fixture.advance(TICK_US);
      channel.deliverAcks();
      fixture.endPacedBatch();
      channel.send();
      assertTrue(
          channel.backlogLines() <= ChannelModel.MAX_BACKLOG_LINES,
          "backlog lines " + channel.backlogLines());
      boundInTime = fixture.commands.tableByProxy.size();
      // A message that is sent now arrives after the backlog and a transit time of 0.5 s.
      double arrivalUs =
          channel.backlogLines() / ChannelModel.LINES_PER_SECOND * PolicyFixture.SECOND_US
              + 500_000;
      if (fixture.nowUs - 108 * PolicyFixture.SECOND_US + arrivalUs
          > 2 * PolicyFixture.SECOND_US + 300_000) {
        break;
      }
    }
    assertEquals(140, boundInTime, "proxies whose binds arrive within the drain grace period");
    for (int proxy = 0; proxy < 140; proxy++) {
      Map<Long, Double> table =
          fixture.commands.weightsByTable.get(fixture.commands.tableByProxy.get(proxy));
      assertTrue(table.keySet().stream().noneMatch(id -> id <= 20), "a draining server is listed");
      assertTrue(table.size() >= 2, "servers of proxy " + proxy + ": " + table);
    }
    fixture.runPeriods(60);
    for (int proxy = 0; proxy < 140; proxy++) {
      assertEquals(
          proxy % 2,
          fixture.commands.tableByProxy.get(proxy),
          "finally bound to the table of its zone");
    }
  }

  /**
   * Ejections before the first control periods are sent to each proxy with a table. Guards against
   * ejections that delay the binds which would make them unnecessary.
   */
  @Test
  void manyEjectionsBeforeTheFirstControlPeriodsDoNotDelayTheBinds() {
    for (boolean drainsBeforeJoining : new boolean[] {true, false}) {
      PolicySettings settings =
          new PolicySettingsBuilder().idempotentRequestsOnly().proxies(120).build();
      PolicyFixture fixture = new PolicyFixture(settings);
      fixture.sendEndpointList(ListUpdateKind.CACHED, TestServers.readyServers(100, 2));
      fixture.endBatch();
      List<ServerEntry> draining = TestServers.drainingServers(1, 60);
      fixture.updateEndpoints(ListUpdateKind.DELTA, drainsBeforeJoining ? draining : List.of());
      ChannelModel channel = new ChannelModel(fixture, ChannelModel.LINES_PER_SECOND, 200_000);
      long joinedAtUs = fixture.nowUs;
      for (int proxy = 0; proxy < 60; proxy++) {
        fixture.join(proxy, false);
      }
      double arrivalSeconds = 0;
      for (int i = 0; i < 15 && fixture.commands.tableByProxy.size() < 60; i++) {
        channel.deliverAcks();
        fixture.sendEndpointList(
            ListUpdateKind.DELTA, drainsBeforeJoining || i != 2 ? List.of() : draining);
        fixture.endPacedBatch();
        channel.send();
        arrivalSeconds =
            (fixture.nowUs - joinedAtUs) / 1e6
                + channel.backlogLines() / ChannelModel.LINES_PER_SECOND
                + 0.5;
        fixture.advance(TICK_US);
      }
      assertEquals(
          60,
          fixture.commands.tableByProxy.size(),
          "servers drain before the proxies join: " + drainsBeforeJoining);
      assertTrue(
          arrivalSeconds < (drainsBeforeJoining ? 2.1 : 1.5),
          "the last bind arrives after " + arrivalSeconds + " s, drain grace period 2 s");
    }
  }

  /**
   * Proxies with complete tables that wait for a bind to a subset are subscribers of their tables
   * until then. Guards against changes of these tables that are sent to them but not counted
   * towards the backlog.
   */
  @ParameterizedTest
  @CsvSource({
    "3000, 40, 20",
    "3000, 80, 3",
    "3000, 80, 20",
    "3000, 120, 0",
    "1500, 40, 15",
    "1500, 80, 10",
    "900, 40, 0",
    "600, 80, 6"
  })
  void aProxyThatWaitsForASubsetIsCountedAsSubscriberOfItsZoneTable(
      double linesPerSecond, int initialProxies, int firstDrainTick) {
    PolicySettings settings =
        new PolicySettingsBuilder().idempotentRequestsOnly().proxies(200).build();
    PolicyFixture fixture =
        new PolicyFixture(settings).start(TestServers.readyServers(120, 2), initialProxies);
    fixture.runPeriods(8);
    ChannelModel channel = new ChannelModel(fixture, linesPerSecond, 400_000);
    for (int i = 0; i < 200; i++) {
      fixture.advance(TICK_US);
      channel.deliverAcks();
      for (int k = 0; k < 3 && i < 40 && fixture.commands.joinedProxies.size() < 200; k++) {
        fixture.join(fixture.commands.joinedProxies.size(), false);
      }
      fixture.sendEndpointList(ListUpdateKind.DELTA, drainingAt(i - firstDrainTick));
      fixture.endPacedBatch();
      channel.send();
      assertTrue(
          channel.backlogLines() <= ChannelModel.MAX_BACKLOG_LINES,
          "backlog lines " + channel.backlogLines() + " at tick " + i);
    }
    assertEquals(
        Math.min(200, initialProxies + 120),
        fixture.commands.tableByProxy.size(),
        "all proxies are bound");
    fixture.commands.tableByProxy.forEach(
        (proxy, table) ->
            assertTrue(
                fixture.commands.weightsByTable.get(table).keySet().stream()
                    .allMatch(id -> id > 80 || fixture.commands.ejected.contains(id)),
                "proxy " + proxy + " may use a draining server"));
  }

  @Test
  void proxiesThatRejoinAfterADisconnectStopUsingDrainingServersWithinTheDrainGrace() {
    PolicyFixture fixture = new PolicyFixture().start(TestServers.readyServers(120, 2), 60);
    fixture.runPeriods(6);
    fixture.advance(300_000);
    fixture.updateEndpoints(
        ListUpdateKind.DELTA, List.of(TestServers.serverIn(1, 1, Lifecycle.DRAINING)));
    for (int proxy = 0; proxy < 60; proxy++) {
      fixture.policy.onProxyLeft(fixture.nowUs, proxy);
    }
    fixture.commands.tableByProxy.clear();
    fixture.commands.issued.clear();
    Map<Integer, Long> joinedAtUs = new TreeMap<>();
    ChannelModel channel = new ChannelModel(fixture, ChannelModel.LINES_PER_SECOND, 200_000);
    for (int i = 0; i < 40; i++) {
      fixture.advance(TICK_US);
      channel.deliverAcks();
      for (int proxy = 3 * i; proxy < 3 * i + 3 && proxy < 60; proxy++) {
        fixture.join(proxy, false);
        joinedAtUs.put(proxy, fixture.nowUs);
      }
      fixture.endPacedBatch();
      List<RecordedCommand.BindProxy> newlyBound =
          fixture.commands.issued(RecordedCommand.BindProxy.class);
      for (RecordedCommand.BindProxy bind : newlyBound) {
        boolean isListed = fixture.commands.weightsByTable.get(bind.table()).containsKey(1L);
        assertFalse(isListed && !fixture.commands.ejected.contains(1L));
      }
      channel.send();
      double arrivalUs =
          fixture.nowUs
              + channel.backlogLines() / ChannelModel.LINES_PER_SECOND * PolicyFixture.SECOND_US
              + 500_000;
      newlyBound.forEach(
          bind ->
              assertTrue(
                  arrivalUs <= 2_300_000 + joinedAtUs.getOrDefault(bind.proxy(), fixture.nowUs),
                  "the bind of proxy " + bind.proxy() + " arrives after the drain grace period"));
      assertTrue(
          channel.backlogLines() <= ChannelModel.MAX_BACKLOG_LINES,
          "backlog lines " + channel.backlogLines());
    }
    assertEquals(60, fixture.commands.tableByProxy.size());
  }
}
