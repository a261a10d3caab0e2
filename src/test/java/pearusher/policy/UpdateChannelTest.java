package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Limits of the backlog and of the messages on the channel to the proxies. */
class UpdateChannelTest {
  private static final long TICK_US = 100_000;
  private static final int LINES_PER_TICK = ChannelModel.LINES_PER_SECOND / 10;

  /**
   * Returns the backlog of a channel of this rate, counted independently of the policy, and asserts
   * the limit of 4,500 lines.
   */
  private static double backlogAfter(
      PolicyFixture fixture,
      double backlogLines,
      int acksBefore,
      long elapsedUs,
      double linesPerSecond) {
    int overhead =
        fixture.commands.lastAckNumber == acksBefore
            ? 0
            : ChannelModel.OVERHEAD_LINES * fixture.commands.joinedProxies.size();
    double now = backlogLines + fixture.commands.linesThisBatch + overhead;
    assertTrue(now <= ChannelModel.MAX_BACKLOG_LINES, "backlog lines " + now);
    return Math.max(0, now - linesPerSecond * elapsedUs / 1e6);
  }

  @Test
  void aZoneThatIsRemovedAndReturnsStaysWithinTheBacklogAndIsEjectedInTime() {
    PolicyFixture fixture = new PolicyFixture().start(TestServers.readyServers(100, 2), 60);
    fixture.runPeriods(6);
    double backlogLines = 0;
    ChannelModel channel = new ChannelModel(fixture, ChannelModel.LINES_PER_SECOND, 200_000);
    long removedAtUs = fixture.nowUs;
    for (int i = 0; i < 30; i++) {
      fixture.advance(TICK_US);
      channel.deliverAcks();
      List<ServerEntry> changes = new ArrayList<>();
      for (long id = 2; (i == 0 || i == 9) && id <= 100; id += 2) {
        changes.add(
            i == 0
                ? TestServers.serverIn(id, 0, Lifecycle.REMOVED)
                : TestServers.readyServer(id, 0, fixture.nowUs));
      }
      int acksBefore = fixture.commands.lastAckNumber;
      fixture.sendEndpointList(ListUpdateKind.DELTA, changes);
      fixture.endPacedBatch();
      channel.send();
      backlogLines +=
          fixture.commands.linesThisBatch
              + (fixture.commands.lastAckNumber == acksBefore
                  ? 0
                  : 60 * ChannelModel.OVERHEAD_LINES);
      assertTrue(
          backlogLines <= ChannelModel.MAX_BACKLOG_LINES,
          "backlog lines " + backlogLines + " after " + (fixture.nowUs - removedAtUs));
      backlogLines = Math.max(0, backlogLines - LINES_PER_TICK);
      if (i == 8) {
        assertEquals(50, fixture.commands.ejected.size(), "all servers are ejected within 1 s");
      }
    }
    for (long id = 2; id <= 100; id += 2) {
      assertTrue(
          fixture.commands.ejected.contains(id) || fixture.commands.share(0, id) < 0.004,
          "share of a reinstated server in slow start: " + fixture.commands.share(0, id));
    }
    assertTrue(fixture.commands.ejected.size() < 50, "some servers are reinstated within 2 s");
  }

  @Test
  void ejectionsThatExceedTheBacklogAreBatchedIntoFewMessages() {
    PolicyFixture fixture = new PolicyFixture().start(TestServers.readyServers(160, 2), 70);
    fixture.runPeriods(8);
    double backlogLines = 0;
    ChannelModel channel = new ChannelModel(fixture, ChannelModel.LINES_PER_SECOND, 200_000);
    int messages = 0;
    for (int i = 0; i < 40 && fixture.commands.ejected.size() < 80; i++) {
      fixture.advance(TICK_US);
      channel.deliverAcks();
      List<ServerEntry> changes =
          i == 0 ? TestServers.serversIn(1, 80, Lifecycle.REMOVED) : List.of();
      int acksBefore = fixture.commands.lastAckNumber;
      fixture.sendEndpointList(ListUpdateKind.DELTA, changes);
      fixture.endPacedBatch();
      channel.send();
      messages += fixture.commands.lastAckNumber == acksBefore ? 0 : 1;
      backlogLines +=
          fixture.commands.linesThisBatch
              + (fixture.commands.lastAckNumber == acksBefore
                  ? 0
                  : 70 * ChannelModel.OVERHEAD_LINES);
      assertTrue(backlogLines <= ChannelModel.MAX_BACKLOG_LINES, "backlog lines " + backlogLines);
      backlogLines = Math.max(0, backlogLines - LINES_PER_TICK);
    }
    assertEquals(80, fixture.commands.ejected.size(), "all servers are ejected within 4 s");
    assertTrue(messages <= 6, "more than 6 messages: " + messages);
  }

  /**
   * All proxies of the fleet may join one assigner while servers drain in steps. Guards against
   * deferrable weights that use the capacity needed for that, which grows with the fleet, and
   * against weights that are not sent table by table in long messages.
   */
  @ParameterizedTest
  @CsvSource({"20, 1350", "100, 1050", "140, 450"})
  void deferrableWeightsReserveCapacityForAllProxiesOfTheFleet(
      int fleetProxies, double maxBacklogLines) {
    PolicySettings settings =
        new PolicySettingsBuilder().idempotentRequestsOnly().proxies(fleetProxies).build();
    PolicyFixture fixture = new PolicyFixture(settings).start(TestServers.readyServers(100, 2), 20);
    fixture.attemptsPerZone = 20_000;
    fixture.runPeriods(8);
    ChannelModel channel = new ChannelModel(fixture, ChannelModel.LINES_PER_SECOND, 200_000);
    double longestMeanMessage = 0;
    for (int i = 0; i < 200; i++) {
      fixture.advance(20_000);
      for (long id = 1; i % 50 == 0 && id <= 100; id++) {
        // Every weight changes.
        fixture.latencyMs.put(id, id % 2 == i / 50 % 2 ? 400.0 : 100.0);
      }
      if (i % 50 == 0) {
        fixture.runPeriod();
      }
      channel.deliverAcks();
      fixture.endPacedBatch();
      Map<Integer, Integer> sent = channel.send();
      longestMeanMessage =
          Math.max(
              longestMeanMessage,
              sent.values().stream().mapToInt(lines -> lines).average().orElse(0));
    }
    assertTrue(
        channel.maxBacklogLines <= maxBacklogLines
            && channel.maxBacklogLines > 0.8 * maxBacklogLines,
        "largest backlog: " + channel.maxBacklogLines + " lines");
    assertTrue(longestMeanMessage > 40, "longest mean message: " + longestMeanMessage + " lines");
  }

  /**
   * Guards against reinstatements in many small messages when a zone returns: each message has its
   * overhead for every proxy.
   */
  @Test
  void manyServersOfAReturningZoneAreReinstatedAtOnceInALargeFleet() {
    PolicySettings settings =
        new PolicySettingsBuilder().idempotentRequestsOnly().proxies(140).build();
    PolicyFixture fixture = new PolicyFixture(settings).start(TestServers.readyServers(100, 2), 20);
    fixture.runPeriods(8);
    for (Lifecycle state : List.of(Lifecycle.DRAINING, Lifecycle.READY)) {
      List<ServerEntry> zone = new ArrayList<>();
      for (long id = 2; id <= 80; id += 2) {
        zone.add(TestServers.serverIn(id, 0, state));
      }
      fixture.advance(5 * PolicyFixture.SECOND_US);
      fixture.commands.issued.clear();
      fixture.updateEndpoints(ListUpdateKind.DELTA, zone);
    }
    long reinstatedServers =
        fixture.commands.issued.stream()
            .filter(RecordedCommand.Reinstate.class::isInstance)
            .count();
    assertTrue(
        reinstatedServers >= 20,
        reinstatedServers + " of 40 servers are reinstated in the batch of the list update");
  }

  /**
   * A channel may be slower than the settings state, which acknowledgements show only later. Guards
   * against a backlog limit that relies on the estimate alone, which admits more lines until then.
   */
  @Test
  void theBacklogStaysWithinItsLimitOnAChannelMuchSlowerThanConfigured() {
    for (double linesPerSecond : new double[] {3000, 1500, 900}) {
      PolicySettings settings =
          new PolicySettingsBuilder().idempotentRequestsOnly().proxies(200).build();
      PolicyFixture fixture =
          new PolicyFixture(settings).start(TestServers.readyServers(120, 2), 40);
      fixture.runPeriods(8);
      ChannelModel channel = new ChannelModel(fixture, linesPerSecond, 400_000);
      for (int i = 0; i < 100; i++) {
        fixture.advance(TICK_US);
        channel.deliverAcks();
        for (int proxy = 40 + 4 * i; i < 40 && proxy < 44 + 4 * i; proxy++) {
          fixture.join(proxy, false);
        }
        List<ServerEntry> draining =
            i < 15 ? TestServers.drainingServers(1 + 4L * i, 4L * i + 4) : List.of();
        fixture.sendEndpointList(ListUpdateKind.DELTA, draining);
        fixture.endPacedBatch();
        channel.send();
        assertTrue(
            channel.backlogLines() <= ChannelModel.MAX_BACKLOG_LINES,
            channel.backlogLines()
                + " lines of backlog at "
                + linesPerSecond
                + " lines per second");
      }
      assertEquals(
          200,
          fixture.commands.tableByProxy.size(),
          "all are bound at " + linesPerSecond + " lines per second");
    }
  }

  @Test
  void aProxyThatReconnectsRepeatedlyIsBoundEachTimeWithinTheBacklog() {
    PolicyFixture fixture = PolicyFixture.started(40, 12);
    fixture.runPeriods(4);
    double backlogLines = 0;
    for (int i = 0; i < 60; i++) {
      fixture.advance(200_000);
      fixture.leave(5);
      fixture.join(5, 1, false);
      int acksBefore = fixture.commands.lastAckNumber;
      fixture.endBatch();
      backlogLines =
          backlogAfter(fixture, backlogLines, acksBefore, 200_000, ChannelModel.LINES_PER_SECOND);
      assertTrue(fixture.commands.tableByProxy.containsKey(5), "bound in the batch of its joining");
    }
  }

  @Test
  void aMessageCapDefersWeightsButNotEjections() {
    PolicyFixture fixture =
        new PolicyFixture(
            new PolicySettingsBuilder().idempotentRequestsOnly().maxMessagesPerProxy(6).build());
    fixture.start(TestServers.readyServers(8, 2), 4);
    int acksBefore = 0;
    for (int i = 0; i < 9; i++) {
      fixture.latencyMs.put(1L, i % 2 == 0 ? 50.0 : 800.0);
      fixture.attemptsPerZone = 2000;
      fixture.runPeriod();
      acksBefore = Math.max(acksBefore, fixture.commands.lastAckNumber);
    }
    assertTrue(acksBefore <= 3, "messages without ejections in 10 s: " + acksBefore);
    fixture.advance(1000);
    fixture.updateEndpoints(
        ListUpdateKind.DELTA, List.of(TestServers.serverIn(2, 0, Lifecycle.REMOVED)));
    assertTrue(fixture.commands.ejected.contains(2L));
    assertEquals(acksBefore + 1, fixture.commands.lastAckNumber);
  }

  @Test
  void aSlowChannelDefersWeights() {
    PolicyFixture fixture = PolicyFixture.started(12, 8);
    fixture.runPeriods(2);
    double sent = 0;
    Random random = new Random(3);
    for (int i = 0; i < 60; i++) {
      for (long id = 1; id <= 12; id++) {
        fixture.latencyMs.put(id, 50.0 + 400 * random.nextDouble());
      }
      fixture.advance(PolicyFixture.SECOND_US);
      for (int zone = 0; zone < 2; zone++) {
        for (long id = 1; id <= 12; id++) {
          fixture.reportLoad(
              id,
              zone,
              50,
              0,
              PolicyFixture.SECOND_US,
              Math.round(1000 * fixture.latencyMs.get(id)));
        }
      }
      int acksBefore = fixture.commands.lastAckNumber;
      fixture.endBatch();
      if (fixture.commands.lastAckNumber != acksBefore) {
        sent +=
            fixture.commands.linesThisBatch
                + ChannelModel.OVERHEAD_LINES * fixture.commands.joinedProxies.size();
      }
      for (int proxy : fixture.commands.joinedProxies) {
        fixture.policy.onAcknowledgement(
            fixture.nowUs, proxy, fixture.commands.lastAckNumber, 20 * PolicyFixture.SECOND_US);
      }
    }
    assertTrue(
        sent < 60 * 160, "lines sent on a channel with acknowledgements after 20 s: " + sent);
  }
}
