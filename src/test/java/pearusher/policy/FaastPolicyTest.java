package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FaastPolicyTest {

  private static PolicyFixture play(int servers, int proxies) {
    return new PolicyFixture(RecordingCommands.settings())
        .start(RecordingCommands.servers(servers, 2), proxies);
  }

  /** All servers fail this share of tries and answer the others in this time, as a jam shows. */
  private static void jam(PolicyFixture p, double failed, double meanMs) {
    for (long id = 1; id <= 8; id++) {
      p.fails.put(id, failed);
      p.meanMs.put(id, meanMs);
    }
  }

  private static void calm(PolicyFixture p) {
    p.fails.clear();
    p.meanMs.clear();
  }

  private static double sum(PolicyFixture p, int table) {
    return p.fleet.tables.get(table).values().stream().mapToDouble(w -> w).sum();
  }

  @Test
  void freshTablesListAllServersEvenlyAndSumToOne() {
    PolicyFixture p = play(8, 4);
    for (int z = 0; z < 2; z++) {
      assertEquals(8, p.fleet.tables.get(z).size());
      assertEquals(1, sum(p, z), 1e-6);
      assertEquals(1 / 8.0, p.fleet.share(z, 3), 1e-9);
    }
    assertEquals(4, p.fleet.bound.size());
  }

  @Test
  void freshTablesFollowListedWeights() {
    PolicyFixture p = new PolicyFixture(RecordingCommands.settings());
    p.start(
        List.of(
            new ServerEntry(1, 0, 0, 0, Lifecycle.READY, 2, 0),
            new ServerEntry(2, 0, 0, 0, Lifecycle.READY, 1, 0)),
        2);
    assertTrue(p.fleet.share(0, 1) > 1.5 * p.fleet.share(0, 2));
  }

  @Test
  void weightsAreInverseToTime() {
    PolicyFixture p = play(8, 4);
    p.triesPerZone = 2000;
    p.meanMs.put(1L, 100.0);
    p.meanMs.put(2L, 400.0);
    p.periods(20);
    for (int z = 0; z < 2; z++) {
      assertEquals(2, p.fleet.share(z, 1) / p.fleet.share(z, 3), 0.25);
      assertEquals(0.5, p.fleet.share(z, 2) / p.fleet.share(z, 3), 0.1);
      assertEquals(1, sum(p, z), 0.1);
    }
  }

  @Test
  void linesInsideTheDeadBandStayAndAWeightMovesBoundedInOnePeriod() {
    PolicyFixture p = play(8, 4);
    p.periods(6);
    int before = p.fleet.orders.size();
    p.meanMs.put(1L, 204.0);
    p.periods(3);
    assertTrue(
        p.fleet.orders.subList(before, p.fleet.orders.size()).stream()
            .noneMatch(o -> o.startsWith("line")));
    p.meanMs.put(1L, 20.0);
    double last = p.fleet.share(0, 1);
    p.period();
    assertTrue(p.fleet.share(0, 1) < 1.6 * last);
    assertTrue(p.fleet.share(0, 1) > last);
  }

  @Test
  void aServerThatFailsFastIsCutAndComesBackWhenWell() {
    PolicyFixture p = play(8, 4);
    p.periods(5);
    p.meanMs.put(1L, 50.0);
    p.fails.put(1L, 0.9);
    p.periods(10);
    assertTrue(p.fleet.share(0, 1) < 0.04, "a fast failing server keeps " + p.fleet.share(0, 1));
    assertTrue(p.fleet.tables.get(0).containsKey(1L), "it stays listed");
    assertTrue(p.fleet.logs.contains("server 1 is an outlier"));
    p.fails.remove(1L);
    p.meanMs.put(1L, 200.0);
    p.triesPerZone = 400;
    p.periods(20);
    assertTrue(p.fleet.share(0, 1) > 0.08, "back at " + p.fleet.share(0, 1));
    assertTrue(p.fleet.logs.contains("server 1 recovered"));
  }

  @Test
  void whenAllFailAlikeNobodyIsCut() {
    PolicyFixture p = play(8, 4);
    for (long id = 1; id <= 8; id++) {
      p.fails.put(id, 0.5);
    }
    p.periods(6);
    for (long id = 1; id <= 8; id++) {
      assertTrue(p.fleet.share(0, id) > 0.06);
    }
  }

  @Test
  void aServerThatAnswersNothingLosesItsWeight() {
    PolicyFixture p = play(8, 4);
    p.periods(5);
    p.fails.put(1L, 1.0);
    p.periods(6);
    assertTrue(p.fleet.share(0, 1) < 0.05, "a server that hangs keeps " + p.fleet.share(0, 1));
  }

  @Test
  void weightsStayWhenNothingIsHeard() {
    PolicyFixture p = play(8, 4);
    p.meanMs.put(1L, 100.0);
    p.periods(10);
    double before = p.fleet.share(0, 1);
    for (int i = 0; i < 10; i++) {
      p.step(2 * RecordingCommands.S);
      p.rules.onTimer(p.now, 1);
      p.rules.onBatchEnd(p.now);
    }
    assertEquals(before, p.fleet.share(0, 1), 1e-9);
  }

  @Test
  void drainingAndGoneServersAreWithdrawnAtOnceAheadOfLines() {
    PolicyFixture p = play(8, 4);
    p.periods(2);
    p.step(10_000);
    int before = p.fleet.orders.size();
    p.list(
        ListUpdateKind.DELTA,
        List.of(
            RecordingCommands.state(1, 1, Lifecycle.DRAINING),
            RecordingCommands.state(2, 0, Lifecycle.REMOVED)));
    List<String> said = p.fleet.orders.subList(before, p.fleet.orders.size());
    assertEquals("withdraw 1 true", said.get(0));
    assertEquals("withdraw 2 true", said.get(1));
    p.periods(2);
    assertFalse(p.fleet.tables.get(0).containsKey(1L));
    p.list(ListUpdateKind.DELTA, List.of(RecordingCommands.ready(1, 1, p.now)));
    assertFalse(p.fleet.withdrawn.contains(1L));
  }

  @Test
  void aServerMissingFromAWholeListIsGone() {
    PolicyFixture p = play(8, 4);
    p.list(ListUpdateKind.COMPLETE, RecordingCommands.servers(7, 2));
    assertTrue(p.fleet.withdrawn.contains(8L));
    p.list(ListUpdateKind.FAILED, List.of());
    assertEquals(1, p.fleet.withdrawn.size());
    p.list(ListUpdateKind.COMPLETE, List.of());
    assertEquals(8, p.fleet.withdrawn.size());
  }

  @Test
  void aNewServerStartsAtATenthAndClimbs() {
    PolicyFixture p = play(8, 4);
    p.periods(4);
    p.step(10_000);
    p.list(ListUpdateKind.DELTA, List.of(RecordingCommands.ready(9, 1, p.now)));
    p.period();
    double first = p.fleet.share(0, 9) / p.fleet.share(0, 3);
    assertTrue(first > 0.05 && first < 0.25, "first share " + first);
    double last = first;
    for (int i = 0; i < 4; i++) {
      p.periods(2);
      double share = p.fleet.share(0, 9) / p.fleet.share(0, 3);
      assertTrue(share >= last, share + " after " + last);
      last = share;
    }
    p.periods(12);
    assertEquals(1, p.fleet.share(0, 9) / p.fleet.share(0, 3), 0.2);
  }

  @Test
  void aRestartIsCutInTheReplyToTheList() {
    PolicyFixture p = play(8, 4);
    p.periods(4);
    p.step(300_000);
    p.list(ListUpdateKind.DELTA, List.of(RecordingCommands.ready(1, 1, p.now)));
    assertTrue(p.fleet.share(0, 1) < 0.04, "a restarted server keeps " + p.fleet.share(0, 1));
    assertTrue(p.fleet.share(1, 1) < 0.04, "a restarted server keeps " + p.fleet.share(1, 1));
  }

  @Test
  void aServerThatComesBackIsLetInWithItsColdLines() {
    PolicyFixture p = play(8, 4);
    p.periods(4);
    p.step(300_000);
    p.list(ListUpdateKind.DELTA, List.of(RecordingCommands.state(1, 1, Lifecycle.REMOVED)));
    p.step(300_000);
    int before = p.fleet.orders.size();
    p.list(ListUpdateKind.DELTA, List.of(RecordingCommands.ready(1, 1, p.now)));
    List<String> said = p.fleet.orders.subList(before, p.fleet.orders.size());
    int let = said.indexOf("withdraw 1 false");
    assertTrue(let >= 0);
    for (int z = 0; z < 2; z++) {
      String line = "line " + z + " 1 ";
      assertTrue(said.subList(0, let).stream().anyMatch(o -> o.startsWith(line)), "its line first");
      assertTrue(p.fleet.share(z, 1) < 0.04, "let in at " + p.fleet.share(z, 1));
    }
  }

  @Test
  void aZoneThatGoesAndComesBackKeepsTheQueueShortAndTheDrains() {
    PolicyFixture p =
        new PolicyFixture(RecordingCommands.settings())
            .start(RecordingCommands.servers(100, 2), 60);
    p.periods(6);
    double waiting = 0;
    ChannelModel channel = new ChannelModel(p, 3000, 200_000);
    long gone = p.now;
    for (int i = 0; i < 30; i++) {
      p.step(100_000);
      channel.answer();
      List<ServerEntry> news = new ArrayList<>();
      for (long id = 2; (i == 0 || i == 9) && id <= 100; id += 2) {
        news.add(
            i == 0
                ? RecordingCommands.state(id, 0, Lifecycle.REMOVED)
                : RecordingCommands.ready(id, 0, p.now));
      }
      int marks = p.fleet.marks;
      p.rules.onEndpointList(p.now, ListUpdateKind.DELTA, news);
      p.rules.onTimer(p.now, 3);
      p.rules.onBatchEnd(p.now);
      channel.put();
      waiting += p.fleet.linesThisReply + (p.fleet.marks == marks ? 0 : 60 * 11);
      assertTrue(waiting <= 4500, "lines waiting " + waiting + " after " + (p.now - gone));
      waiting = Math.max(0, waiting - 300);
      if (i == 8) {
        assertEquals(50, p.fleet.withdrawn.size(), "all withdrawn within a second");
      }
    }
    for (long id = 2; id <= 100; id += 2) {
      assertTrue(
          p.fleet.withdrawn.contains(id) || p.fleet.share(0, id) < 0.004,
          "cold and let in at " + p.fleet.share(0, id));
    }
    assertTrue(p.fleet.withdrawn.size() < 50, "some are let in again within two seconds");
  }

  @Test
  void withdrawalsThatFindNoRoomGoTogetherNotOneMessageEach() {
    PolicyFixture p =
        new PolicyFixture(RecordingCommands.settings())
            .start(RecordingCommands.servers(160, 2), 70);
    p.periods(8);
    double waiting = 0;
    ChannelModel channel = new ChannelModel(p, 3000, 200_000);
    int messages = 0;
    for (int i = 0; i < 40 && p.fleet.withdrawn.size() < 80; i++) {
      p.step(100_000);
      channel.answer();
      List<ServerEntry> news = new ArrayList<>();
      for (long id = 1; i == 0 && id <= 80; id++) {
        news.add(RecordingCommands.state(id, (int) (id % 2), Lifecycle.REMOVED));
      }
      int marks = p.fleet.marks;
      p.rules.onEndpointList(p.now, ListUpdateKind.DELTA, news);
      p.rules.onTimer(p.now, 3);
      p.rules.onBatchEnd(p.now);
      channel.put();
      messages += p.fleet.marks == marks ? 0 : 1;
      waiting += p.fleet.linesThisReply + (p.fleet.marks == marks ? 0 : 70 * 11);
      assertTrue(waiting <= 4500, "lines waiting " + waiting);
      waiting = Math.max(0, waiting - 300);
    }
    assertEquals(80, p.fleet.withdrawn.size(), "all are withdrawn within 4 s");
    assertTrue(messages <= 6, "in few messages: " + messages);
  }

  /**
   * Lines in a channel of the stated pace, by this test's own count; the rule is the backlog of
   * 4500.
   */
  private static double queue(PolicyFixture p, double waiting, int marks, long us, double pace) {
    int heads = p.fleet.marks == marks ? 0 : 11 * p.fleet.joined.size();
    double now = waiting + p.fleet.linesThisReply + heads;
    assertTrue(now <= 4500, "lines waiting " + now);
    return Math.max(0, now - pace * us / 1e6);
  }

  @Test
  void hundredsOfServersAndProxiesThatJoinAtOnceFitTheQueueAndAllAreBound() {
    PolicyFixture p = new PolicyFixture(RecordingCommands.settings());
    p.rules.onEndpointList(p.now, ListUpdateKind.CACHED, RecordingCommands.servers(300, 2));
    for (int proxy = 0; proxy < 300; proxy++) {
      p.join(proxy, true);
    }
    double waiting = 0;
    ChannelModel channel = new ChannelModel(p, 3000, 200_000);
    for (int i = 0; i < 600 && p.fleet.bound.size() < 300; i++) {
      int bound = p.fleet.bound.size();
      p.step(100_000);
      channel.answer();
      p.rules.onTimer(p.now, 3);
      p.rules.onBatchEnd(p.now);
      channel.put();
      int binds = p.fleet.bound.size() - bound;
      waiting += p.fleet.linesThisReply + 11 * binds;
      assertTrue(waiting <= 4500, "lines waiting " + waiting);
      waiting = Math.max(0, waiting - 300);
    }
    assertEquals(300, p.fleet.bound.size());
    assertEquals(300, p.fleet.tables.get(0).size());
  }

  /**
   * On sockets a bind tells who held tables of each server that it is back: lines that count as
   * well.
   */
  @Test
  void bindsOfProxiesThatHoldTablesLeaveRoomForWhatIsBack() {
    PolicyFixture p = new PolicyFixture(RecordingCommands.settings());
    p.rules.onEndpointList(p.now, ListUpdateKind.CACHED, RecordingCommands.servers(100, 2));
    for (int proxy = 0; proxy < 100; proxy++) {
      p.join(proxy, false);
    }
    double waiting = 0;
    double most = 0;
    for (int i = 0; i < 600 && p.fleet.bound.size() < 100; i++) {
      int bound = p.fleet.bound.size();
      p.step(100_000);
      p.rules.onTimer(p.now, 1);
      p.rules.onTimer(p.now, 3);
      p.rules.onBatchEnd(p.now);
      int binds = p.fleet.bound.size() - bound;
      waiting += p.fleet.linesThisReply + (11 + 100) * binds;
      most = Math.max(most, waiting);
      waiting = Math.max(0, waiting - 300);
    }
    assertEquals(100, p.fleet.bound.size());
    assertTrue(most <= 4500 * 0.9, "lines waiting " + most);
  }

  /**
   * On the operators' days 590 proxies came from assigners that were killed while servers drained;
   * each waited for a whole table of 200 servers. What goes to all must pass the channel within the
   * grace.
   */
  @Test
  void aSurgeThatHoldsOldTablesIsBoundWithinTheGraceThoughWholeTablesDoNotFit() {
    PolicySettings set =
        RecordingCommands.settings(
            AdmissionMode.SHARE,
            List.of(RecordingCommands.grade(Idempotency.IDEMPOTENT, 1)),
            2,
            0,
            0,
            0,
            140);
    PolicyFixture p = new PolicyFixture(set).start(RecordingCommands.servers(100, 2), 20);
    p.periods(8);
    for (int proxy = 20; proxy < 140; proxy++) {
      p.join(proxy, false);
    }
    p.fleet.orders.clear();
    List<ServerEntry> draining = new ArrayList<>();
    for (long id = 1; id <= 20; id++) {
      draining.add(RecordingCommands.state(id, (int) (id % 2), Lifecycle.DRAINING));
    }
    p.step(0);
    p.rules.onEndpointList(p.now, ListUpdateKind.DELTA, draining);
    ChannelModel channel = new ChannelModel(p, 3000, 200_000);
    int[] late = {0};
    for (int i = 0; i < 19; i++) {
      p.step(100_000);
      channel.answer();
      p.rules.onTimer(p.now, 3);
      p.rules.onBatchEnd(p.now);
      channel.put();
      assertTrue(channel.waiting() <= 4500, "lines waiting " + channel.waiting());
      late[0] = p.fleet.bound.size();
      // What enters now arrives behind what waits, half a second on the way at most.
      double arrives = channel.waiting() / 3000 * RecordingCommands.S + 500_000;
      if (p.now - 108 * RecordingCommands.S + arrives > 2 * RecordingCommands.S + 300_000) {
        break;
      }
    }
    assertEquals(140, late[0], "bound in time to arrive within the grace");
    for (int proxy = 0; proxy < 140; proxy++) {
      Map<Long, Double> table = p.fleet.tables.get(p.fleet.bound.get(proxy));
      assertTrue(table.keySet().stream().noneMatch(id -> id <= 20), "a server that drains is left");
      assertTrue(table.size() >= 2, "servers of proxy " + proxy + ": " + table);
    }
    p.periods(60);
    for (int proxy = 0; proxy < 140; proxy++) {
      assertEquals(proxy % 2, p.fleet.bound.get(proxy), "the zone's table in the end");
    }
  }

  /**
   * On a narrow channel all proxies of the tier came to one assigner while servers drained in
   * steps: the last words arrived 0.3 s late, behind weights that had filled a third of the grace
   * before. Weights leave room for that, the more the larger the tier is, and go to one table's
   * proxies in turn.
   */
  @ParameterizedTest
  @CsvSource({"20, 1350", "100, 1050", "140, 450"})
  void whatCanWaitLeavesRoomForAllProxiesOfTheTier(int tier, double room) {
    PolicySettings set =
        RecordingCommands.settings(
            AdmissionMode.SHARE,
            List.of(RecordingCommands.grade(Idempotency.IDEMPOTENT, 1)),
            2,
            0,
            0,
            0,
            tier);
    PolicyFixture p = new PolicyFixture(set).start(RecordingCommands.servers(100, 2), 20);
    p.triesPerZone = 20_000;
    p.periods(8);
    ChannelModel channel = new ChannelModel(p, 3000, 200_000);
    double longest = 0;
    for (int i = 0; i < 200; i++) {
      p.step(20_000);
      for (long id = 1; i % 50 == 0 && id <= 100; id++) {
        // Every weight moves.
        p.meanMs.put(id, id % 2 == i / 50 % 2 ? 400.0 : 100.0);
      }
      if (i % 50 == 0) {
        p.period();
      }
      channel.answer();
      p.rules.onTimer(p.now, 3);
      p.rules.onBatchEnd(p.now);
      Map<Integer, Integer> sent = channel.put();
      longest = Math.max(longest, sent.values().stream().mapToInt(n -> n).average().orElse(0));
    }
    assertTrue(channel.most <= room && channel.most > 0.8 * room, channel.most + " lines wait");
    assertTrue(longest > 40, "lines a message " + longest);
  }

  /**
   * A zone that comes back is let in a score of servers at once: one by one each pays a head to
   * all.
   */
  @Test
  void aZoneComesBackManyServersAtOnceInALargeTierToo() {
    PolicySettings set =
        RecordingCommands.settings(
            AdmissionMode.SHARE,
            List.of(RecordingCommands.grade(Idempotency.IDEMPOTENT, 1)),
            2,
            0,
            0,
            0,
            140);
    PolicyFixture p = new PolicyFixture(set).start(RecordingCommands.servers(100, 2), 20);
    p.periods(8);
    for (Lifecycle state : List.of(Lifecycle.DRAINING, Lifecycle.READY)) {
      List<ServerEntry> zone = new ArrayList<>();
      for (long id = 2; id <= 80; id += 2) {
        zone.add(RecordingCommands.state(id, 0, state));
      }
      p.step(5 * RecordingCommands.S);
      p.fleet.orders.clear();
      p.list(ListUpdateKind.DELTA, zone);
    }
    long back =
        p.fleet.orders.stream()
            .filter(o -> o.startsWith("withdraw ") && o.endsWith(" false"))
            .count();
    assertTrue(back >= 20, back + " of 40 servers are back in the reply to the list");
  }

  /**
   * On a day of restarts a drain was broken by 0.03 s: joiners that hold tables heard a hundred
   * withdrawals each before the first passes, and the binds that make them needless waited behind
   * those words.
   */
  @Test
  void manyWithdrawalsBeforeTheFirstPassesDoNotHoldUpTheBinds() {
    for (boolean before : new boolean[] {true, false}) {
      PolicySettings set =
          RecordingCommands.settings(
              AdmissionMode.SHARE,
              List.of(RecordingCommands.grade(Idempotency.IDEMPOTENT, 1)),
              2,
              0,
              0,
              0,
              120);
      PolicyFixture p = new PolicyFixture(set);
      p.rules.onEndpointList(p.now, ListUpdateKind.CACHED, RecordingCommands.servers(100, 2));
      p.rules.onBatchEnd(p.now);
      List<ServerEntry> draining = new ArrayList<>();
      for (long id = 1; id <= 60; id++) {
        draining.add(RecordingCommands.state(id, (int) (id % 2), Lifecycle.DRAINING));
      }
      p.list(ListUpdateKind.DELTA, before ? draining : List.of());
      ChannelModel channel = new ChannelModel(p, 3000, 200_000);
      long joined = p.now;
      for (int proxy = 0; proxy < 60; proxy++) {
        p.join(proxy, false);
      }
      double arrives = 0;
      for (int i = 0; i < 15 && p.fleet.bound.size() < 60; i++) {
        channel.answer();
        p.rules.onEndpointList(
            p.now, ListUpdateKind.DELTA, before || i != 2 ? List.of() : draining);
        p.rules.onTimer(p.now, 3);
        p.rules.onBatchEnd(p.now);
        channel.put();
        arrives = (p.now - joined) / 1e6 + channel.waiting() / 3000 + 0.5;
        p.step(100_000);
      }
      assertEquals(60, p.fleet.bound.size(), "drains told before the joining: " + before);
      assertTrue(
          arrives < (before ? 2.1 : 1.5), "the last bind arrives after " + arrives + " s of 2");
    }
  }

  /**
   * A line of a server that nobody can have withdrawn needs no word beside it: releases cost half.
   */
  @Test
  void onlyServersThatMayHaveBeenOutAreDoubted() {
    PolicyFixture p = play(8, 4);
    assertFalse(
        p.fleet.doubted.values().contains(true), "known since long ago: only where not sure");
    p.step(RecordingCommands.S);
    p.list(
        ListUpdateKind.DELTA,
        List.of(
            RecordingCommands.ready(100, 0, p.now),
            RecordingCommands.ready(101, 0, 0),
            RecordingCommands.ready(1, 1, p.now),
            RecordingCommands.state(2, 0, Lifecycle.DRAINING)));
    assertFalse(p.fleet.doubted.containsKey(100L), "started since we run");
    for (long id : List.of(101L, 1L, 2L)) {
      assertTrue(p.fleet.doubted.get(id), id + ": started before, anew or drains");
    }
    p.list(ListUpdateKind.DELTA, List.of(RecordingCommands.state(100, 0, Lifecycle.REMOVED)));
    assertTrue(p.fleet.doubted.get(100L));
    p.periods(70);
    assertTrue(p.fleet.forgotten.contains(100L));
    p.list(ListUpdateKind.DELTA, List.of(RecordingCommands.ready(102, 0, p.now)));
    assertTrue(p.fleet.doubted.get(102L), "its id may be one that was forgotten");
  }

  /**
   * The operators saw the rule on the queue broken on a day of restarts. The channel may be slower
   * than stated, which answers tell only once they are through it: the estimate alone lets more in
   * meanwhile.
   */
  @Test
  void aChannelMuchSlowerThanStatedNeverHoldsMoreThanMayWait() {
    for (double pace : new double[] {3000, 1500, 900}) {
      PolicySettings set =
          RecordingCommands.settings(
              AdmissionMode.SHARE,
              List.of(RecordingCommands.grade(Idempotency.IDEMPOTENT, 1)),
              2,
              0,
              0,
              0,
              200);
      PolicyFixture p = new PolicyFixture(set).start(RecordingCommands.servers(120, 2), 40);
      p.periods(8);
      ChannelModel channel = new ChannelModel(p, pace, 400_000);
      for (int i = 0; i < 100; i++) {
        p.step(100_000);
        channel.answer();
        for (int proxy = 40 + 4 * i; i < 40 && proxy < 44 + 4 * i; proxy++) {
          p.join(proxy, false);
        }
        List<ServerEntry> drains = new ArrayList<>();
        for (long id = 1 + 4L * i; i < 15 && id <= 4 * i + 4; id++) {
          drains.add(RecordingCommands.state(id, (int) (id % 2), Lifecycle.DRAINING));
        }
        p.rules.onEndpointList(p.now, ListUpdateKind.DELTA, drains);
        p.rules.onTimer(p.now, 3);
        p.rules.onBatchEnd(p.now);
        channel.put();
        assertTrue(channel.waiting() <= 4500, channel.waiting() + " lines wait at " + pace);
      }
      assertEquals(200, p.fleet.bound.size(), "and all are bound at " + pace);
    }
  }

  /**
   * On days of restarts and of replaced servers the queue held up to 70 lines more than may wait,
   * and here twice as many as may at the stated pace: those bound to whole tables that are to go to
   * subsets follow theirs until then, and what changes there is written to them.
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
  void whoIsToGoToASubsetIsCountedWhileItFollowsItsZonesTable(double pace, int holders, int at) {
    PolicySettings set =
        RecordingCommands.settings(
            AdmissionMode.SHARE,
            List.of(RecordingCommands.grade(Idempotency.IDEMPOTENT, 1)),
            2,
            0,
            0,
            0,
            200);
    PolicyFixture p = new PolicyFixture(set).start(RecordingCommands.servers(120, 2), holders);
    p.periods(8);
    ChannelModel channel = new ChannelModel(p, pace, 400_000);
    for (int i = 0; i < 200; i++) {
      p.step(100_000);
      channel.answer();
      for (int k = 0; k < 3 && i < 40 && p.fleet.joined.size() < 200; k++) {
        p.join(p.fleet.joined.size(), false);
      }
      List<ServerEntry> drains = new ArrayList<>();
      for (long id = 1; (i == at || i == at + 8) && id <= 40; id++) {
        long which = i == at ? id : id + 40;
        drains.add(RecordingCommands.state(which, (int) (which % 2), Lifecycle.DRAINING));
      }
      p.rules.onEndpointList(p.now, ListUpdateKind.DELTA, drains);
      p.rules.onTimer(p.now, 3);
      p.rules.onBatchEnd(p.now);
      channel.put();
      assertTrue(channel.waiting() <= 4500, channel.waiting() + " lines wait after " + i);
    }
    assertEquals(Math.min(200, holders + 120), p.fleet.bound.size(), "and all are bound");
    p.fleet.bound.forEach(
        (proxy, table) ->
            assertTrue(
                p.fleet.tables.get(table).keySet().stream()
                    .allMatch(id -> id > 80 || p.fleet.withdrawn.contains(id)),
                "a server that drains is left"));
  }

  @Test
  void aProxyThatMovesToAndFroIsBoundEachTimeAndStaysInTheQueuesRoom() {
    PolicyFixture p = play(40, 12);
    p.periods(4);
    double waiting = 0;
    for (int i = 0; i < 60; i++) {
      p.step(200_000);
      p.rules.onProxyLeft(p.now, 5);
      p.fleet.bound.remove(5);
      p.rules.onProxyJoined(p.now, 5, 1, 10, false);
      int marks = p.fleet.marks;
      p.rules.onBatchEnd(p.now);
      waiting = queue(p, waiting, marks, 200_000, 3000);
      assertTrue(p.fleet.bound.containsKey(5), "bound in the reply to its joining");
    }
  }

  @Test
  void aServerThatFailsAndReturnsUntoldIsCutAndComesBackBounded() {
    PolicyFixture p = play(40, 12);
    p.triesPerZone = 400;
    p.periods(6);
    double even = p.fleet.share(0, 1);
    for (int turn = 0; turn < 4; turn++) {
      p.fails.put(1L, 1.0);
      p.periods(5);
      assertTrue(p.fleet.share(0, 1) < 0.4 * even, "down it keeps " + p.fleet.share(0, 1) / even);
      p.fails.remove(1L);
      double last = p.fleet.share(0, 1);
      for (int i = 0; i < 5; i++) {
        p.period();
        assertTrue(
            p.fleet.share(0, 1) <= Math.max(1.6 * last, 0.45 * even), "a jump on its return");
        last = p.fleet.share(0, 1);
      }
    }
    assertTrue(p.fleet.withdrawn.isEmpty(), "never withdrawn without the list's word");
  }

  @Test
  void ordersOfAPeriodGrowWithTheFleetAndNoFaster() {
    double[] each = new double[2];
    for (int k = 0; k < 2; k++) {
      int n = k == 0 ? 50 : 200;
      PolicyFixture p =
          new PolicyFixture(RecordingCommands.settings()).start(RecordingCommands.servers(n, 2), 8);
      p.triesPerZone = 10 * n;
      p.periods(5);
      int before = p.fleet.orders.size();
      Random random = new Random(5);
      for (int i = 0; i < 10; i++) {
        for (long id = 1; id <= n; id++) {
          p.meanMs.put(id, 150 + 300 * random.nextDouble());
        }
        p.period();
      }
      each[k] = (p.fleet.orders.size() - before) / 10.0 / n;
    }
    String said = "at most a line a table and server: " + each[0] + ", " + each[1];
    assertTrue(each[0] > 0.1 && each[0] <= 2.5 && each[1] <= 2.5, said);
  }

  @Test
  void inAJamNoColdServerIsListed() {
    PolicyFixture p = play(8, 4);
    p.periods(4);
    for (long id = 1; id <= 8; id++) {
      p.fails.put(id, 0.6);
    }
    p.periods(2);
    p.list(ListUpdateKind.DELTA, List.of(RecordingCommands.ready(9, 1, p.now)));
    p.periods(3);
    assertFalse(p.fleet.tables.get(0).containsKey(9L), "proxies that avoid the rest crowd onto it");
    p.periods(9);
    assertTrue(p.fleet.tables.get(0).containsKey(9L), "warm servers are listed whatever happens");
  }

  @Test
  void whileReportsAreFarBehindNoColdServerIsListed() {
    for (long lag : new long[] {0, 5}) {
      PolicyFixture p = play(8, 4);
      p.step(lag * RecordingCommands.S);
      p.periods(4);
      p.list(ListUpdateKind.DELTA, List.of(RecordingCommands.ready(9, 1, p.now)));
      p.periods(3);
      assertEquals(
          lag == 0, p.fleet.tables.get(0).containsKey(9L), "reports behind by " + lag + " s");
    }
  }

  /**
   * Reports that come a little early make passes of their own. Guards against timers that add up,
   * one for each such pass: they ran passes on parts of a period's reports, and grew for ever.
   */
  @Test
  void passesThatComeEarlyLeaveNoTimersBehind() {
    PolicyFixture p = play(8, 4);
    TreeMap<Long, Integer> due = new TreeMap<>();
    int seen = 0;
    int part = 0;
    for (int i = 0; i < 400; i++) {
      p.step(RecordingCommands.S / 10);
      for (; seen < p.fleet.orders.size(); seen++) {
        String[] words = p.fleet.orders.get(seen).split(" ");
        if (words[0].equals("timer") && words[2].equals("1")) {
          due.merge(p.now + Long.parseLong(words[1]), 1, Integer::sum);
        }
      }
      while (!due.isEmpty() && due.firstKey() <= p.now) {
        for (int k = due.pollFirstEntry().getValue(); k > 0; k--) {
          p.rules.onTimer(p.now, 1);
          p.rules.onBatchEnd(p.now);
        }
      }
      // The reports of a period come in two halves, the second three tenths after the first.
      if (i % 9 == 0 || i % 9 == 3) {
        for (long id = 1L + part++ % 2; id <= 8; id += 2) {
          p.rules.onLoadReport(
              p.now, id, 0, 9, 0, RecordingCommands.S, 200_000, RecordingCommands.NO_LOAD);
        }
      }
      p.rules.onBatchEnd(p.now);
      assertTrue(due.values().stream().mapToInt(k -> k).sum() <= 3, "timers out: " + due);
    }
  }

  /** A server long gone is forgotten, not before; the tables and withdrawals name it no more. */
  @Test
  void aServerLongGoneIsForgotten() {
    PolicyFixture p = play(8, 4).periods(3);
    p.list(
        ListUpdateKind.DELTA,
        List.of(
            RecordingCommands.state(3, 1, Lifecycle.REMOVED),
            RecordingCommands.state(4, 0, Lifecycle.DRAINING)));
    p.periods(50);
    assertEquals(List.of(), p.fleet.forgotten);
    p.periods(15);
    assertEquals(List.of(3L), p.fleet.forgotten, "one that drains may be told of again");
    p.list(ListUpdateKind.DELTA, List.of(RecordingCommands.ready(3, 1, 0)));
    p.periods(2);
    assertTrue(p.fleet.tables.get(1).containsKey(3L));
  }

  /**
   * Where the intake lets a part of the lines through each period, a period's own are of a few
   * servers. Guards against a deep cut for the whole fleet because the slow ones' lines came
   * together.
   */
  @Test
  void slowServersWhoseLinesComeTogetherAreNoOverload() {
    PolicyFixture p = play(40, 300);
    for (int i = 0; i < 40; i++) {
      p.step(RecordingCommands.S);
      for (long id = 1L + i % 4; id <= 40; id += 4) {
        p.rules.onLoadReport(
            p.now,
            id,
            0,
            9,
            0,
            4 * RecordingCommands.S,
            i % 4 == 3 ? 800_000 : 150_000,
            RecordingCommands.NO_LOAD);
      }
      for (int proxy = i % 4; proxy < 300; proxy += 4) {
        p.rules.onUsageReport(p.now, proxy, 0, 30, 0, 4 * RecordingCommands.S);
      }
      p.rules.onBatchEnd(p.now);
      p.fleet.joined.forEach(
          proxy -> p.rules.onAcknowledgement(p.now, proxy, p.fleet.marks, 200_000));
    }
    assertFalse(p.fleet.logs.contains("overload started"), "the mean over all is 0.31 of the aim");
  }

  /**
   * Levels pay the heads: weights go in the same messages, or in a jam of many proxies they never
   * would.
   */
  @Test
  void weightsGoAlongWithLevels() {
    PolicyFixture p = play(8, 90).periods(3);
    int both = 0;
    for (int i = 0; i < 12; i++) {
      jam(p, i % 2 == 0 ? 0.2 : 0.6, 700 + 40 * i);
      p.meanMs.put(1L + i % 4, 2500.0);
      p.fleet.orders.clear();
      p.period();
      boolean levels = p.fleet.orders.stream().anyMatch(o -> o.startsWith("admit"));
      both += levels && p.fleet.orders.stream().anyMatch(o -> o.startsWith("line")) ? 1 : 0;
    }
    assertTrue(both > 0, "no weight went along with a level");
  }

  @Test
  void repeatsOnlyAfterProofAndNoneInAJam() {
    PolicyFixture p = play(8, 4);
    p.periods(3);
    assertTrue(p.fleet.retries.values().stream().allMatch(r -> r <= 1));
    jam(p, 0.6, 500);
    p.periods(3);
    assertEquals(0, p.fleet.retries.get(1));
    assertEquals(0, p.fleet.retries.get(2));
    assertTrue(p.fleet.logs.contains("overload started"));
    calm(p);
    p.periods(20);
    assertEquals(1, p.fleet.retries.get(1));
    assertTrue(p.fleet.logs.contains("overload ended"));
  }

  @Test
  void levelsFallOnTheClassOfLeastWorthFirstAndRiseAgain() {
    PolicyFixture p = play(8, 4);
    p.periods(3);
    jam(p, 0.4, 500);
    p.periods(2);
    assertTrue(p.fleet.levels.get(1) < 0.5);
    assertTrue(p.fleet.levels.get(2) == null || p.fleet.levels.get(2) > 0.9);
    calm(p);
    p.periods(20);
    assertEquals(1, p.fleet.levels.get(1), 1e-9);
  }

  @Test
  void failuresWithoutSlowAnswersRefuseNothing() {
    PolicyFixture p = play(8, 4);
    p.periods(3);
    jam(p, 0.4, 200);
    p.periods(6);
    assertFalse(
        p.fleet.logs.contains("overload started"), "connections that fail are not the load's");
    assertTrue(p.fleet.levels.values().stream().allMatch(l -> l >= 1));
  }

  @Test
  void ratesLimitTheLargeProxiesAndNoLevelsMeansNone() {
    List<RequestClass> grades =
        List.of(
            RecordingCommands.grade(Idempotency.IDEMPOTENT, 1),
            RecordingCommands.grade(Idempotency.IDEMPOTENT, 2));
    for (AdmissionMode kind : List.of(AdmissionMode.RATE, AdmissionMode.NONE)) {
      PolicyFixture p =
          new PolicyFixture(RecordingCommands.settings(kind, grades, 2, 0, 0))
              .start(RecordingCommands.servers(8, 2), 4);
      p.periods(3);
      jam(p, 0.4, 500);
      p.periods(3);
      double level = p.fleet.levels.get(1);
      assertTrue(kind == AdmissionMode.RATE ? level < 10 : level == 1, kind + " " + level);
    }
  }

  /** Periods in which every server that is asked says so. */
  private static void busy(PolicyFixture p, int periods, double util) {
    for (int i = 0; i < periods; i++) {
      for (String order : List.copyOf(p.fleet.orders)) {
        if (order.startsWith("probe ")) {
          p.rules.onHealthCheckResult(
              p.now,
              Long.parseLong(order.substring(6)),
              HealthCheckResult.OK,
              2000,
              new float[] {(float) util});
        }
      }
      p.fleet.orders.clear();
      p.period();
    }
  }

  /** On operators' days reports told of a jam four seconds late, and of its end as late again. */
  @Test
  void levelsFollowWhatServersSayOfHowBusyTheyAre() {
    PolicyFixture p = play(8, 4);
    busy(p, 6, 0.5);
    assertTrue(p.fleet.levels.values().stream().allMatch(l -> l >= 1), "" + p.fleet.levels);
    busy(p, 3, 0.97);
    double cut = p.fleet.levels.getOrDefault(1, 1.0);
    assertTrue(cut < 0.8, "reports are good still, servers are not: " + cut);
    busy(p, 12, 0.4);
    assertEquals(1, p.fleet.levels.get(1), "and again");
  }

  @Test
  void theLoadOfServersThatLeaveCountsToThoseThatStayBeforeTheySaySo() {
    PolicyFixture p = play(8, 4);
    busy(p, 6, 0.5);
    List<ServerEntry> drains = new ArrayList<>();
    for (long id = 1; id <= 5; id++) {
      drains.add(RecordingCommands.state(id, (int) (id % 2), Lifecycle.DRAINING));
    }
    p.list(ListUpdateKind.DELTA, drains);
    busy(p, 1, 0.5);
    assertTrue(
        p.fleet.levels.getOrDefault(1, 1.0) < 1, "half of 8 servers' time is more than 3 have");
  }

  @Test
  void slowAnswersOfServersThatAreNotBusyCutNoLevel() {
    PolicyFixture p = play(8, 4);
    busy(p, 6, 0.5);
    jam(p, 0.4, 900);
    busy(p, 4, 0.4);
    assertTrue(p.fleet.levels.values().stream().allMatch(l -> l >= 1), "" + p.fleet.levels);
    assertFalse(p.fleet.logs.contains("overload started"), "" + p.fleet.logs);
  }

  /** A jam is heard of bit by bit; a first small cut held off the next until it could show. */
  @Test
  void aCutIsDeepenedByWhatIsHeardBeforeItCanShow() {
    PolicyFixture p = play(8, 4);
    p.periods(6);
    jam(p, 0.15, 650);
    p.periods(1);
    double first = p.fleet.levels.get(1);
    assertTrue(first < 1);
    jam(p, 0.5, 900);
    p.periods(1);
    assertTrue(p.fleet.levels.get(1) < 0.8 * first, first + " to " + p.fleet.levels.get(1));
  }

  @Test
  void proxiesThatHoldTablesAreBoundOnceTheFleetWasHeard() {
    PolicyFixture p = new PolicyFixture(RecordingCommands.settings());
    p.rules.onEndpointList(p.now, ListUpdateKind.CACHED, RecordingCommands.servers(8, 2));
    p.join(0, false);
    p.join(1, true);
    p.rules.onBatchEnd(p.now);
    assertFalse(p.fleet.bound.containsKey(0));
    assertTrue(p.fleet.bound.containsKey(1));
    p.step(10_000);
    p.list(ListUpdateKind.DELTA, List.of(RecordingCommands.state(1, 1, Lifecycle.REMOVED)));
    p.step(700_000);
    p.rules.onTimer(p.now, 3);
    p.rules.onBatchEnd(p.now);
    for (int proxy = 2; proxy < 8; proxy++) {
      p.join(proxy, false);
      p.step(10_000);
      p.rules.onBatchEnd(p.now);
    }
    p.step(700_000);
    p.rules.onTimer(p.now, 3);
    p.rules.onBatchEnd(p.now);
    assertEquals(
        3,
        p.fleet.orders.stream().filter("withdraw 1 true"::equals).count(),
        "proxies that join with held tables hear the withdrawals in one round");
    p.periods(4);
    assertTrue(p.fleet.bound.containsKey(0));
    assertTrue(p.fleet.bound.containsKey(2));
  }

  /** After a restart a part of a turn's lines has come: what they miss was not refused. */
  @Test
  void noLevelIsReadOffAPartOfATurnAfterARestart() {
    PolicyFixture p = new PolicyFixture(RecordingCommands.settings());
    p.rules.onEndpointList(p.now, ListUpdateKind.CACHED, RecordingCommands.servers(30, 2));
    for (int proxy = 0; proxy < 160; proxy++) {
      p.join(proxy, false);
    }
    p.rules.onBatchEnd(p.now);
    for (int i = 0; i < 4; i++) {
      p.step(RecordingCommands.S);
      for (long id = 1L + i % 3; id <= 30; id += 3) {
        p.rules.onLoadReport(
            p.now, id, 0, 16, 0, RecordingCommands.S, 200_000, RecordingCommands.NO_LOAD);
      }
      for (int proxy = 0; proxy < 160; proxy++) {
        p.rules.onUsageReport(p.now, proxy, 0, 3, 0, RecordingCommands.S);
      }
      p.rules.onBatchEnd(p.now);
    }
    assertEquals(List.of(), p.fleet.logs);
    assertTrue(p.fleet.levels.values().stream().allMatch(l -> l >= 1), "" + p.fleet.levels);
    assertTrue(p.fleet.bound.size() > 0);
  }

  @Test
  void levelsBelongToTablesAndAreReadOffAfterARestart() {
    PolicyFixture p = new PolicyFixture(RecordingCommands.settings());
    p.rules.onEndpointList(p.now, ListUpdateKind.CACHED, RecordingCommands.servers(8, 2));
    for (int proxy = 0; proxy < 4; proxy++) {
      p.join(proxy, false);
    }
    p.rules.onBatchEnd(p.now);
    p.triesPerZone = 0;
    for (int i = 0; i < 3; i++) {
      for (long id = 1; id <= 8; id++) {
        p.rules.onLoadReport(
            p.now, id, 0, 5, 0, RecordingCommands.S, 200_000, RecordingCommands.NO_LOAD);
      }
      p.period();
    }
    assertTrue(p.fleet.orders.stream().noneMatch(o -> o.startsWith("admit 65535")));
    assertTrue(p.fleet.levels.get(1) < 0.7, "half of what came was tried");
    assertTrue(p.fleet.bound.size() == 4);
  }

  @Test
  void whereMessagesAreCappedCalmLinesWaitAndWithdrawalsDoNot() {
    List<RequestClass> one = List.of(RecordingCommands.grade(Idempotency.IDEMPOTENT, 1));
    PolicyFixture p =
        new PolicyFixture(RecordingCommands.settings(AdmissionMode.SHARE, one, 2, 0, 0, 6));
    p.start(RecordingCommands.servers(8, 2), 4);
    int marks = 0;
    for (int i = 0; i < 9; i++) {
      p.meanMs.put(1L, i % 2 == 0 ? 50.0 : 800.0);
      p.triesPerZone = 2000;
      p.period();
      marks = Math.max(marks, p.fleet.marks);
    }
    assertTrue(marks <= 3, "calm messages in ten seconds: " + marks);
    p.step(1000);
    p.list(ListUpdateKind.DELTA, List.of(RecordingCommands.state(2, 0, Lifecycle.REMOVED)));
    assertTrue(p.fleet.withdrawn.contains(2L));
    assertEquals(marks + 1, p.fleet.marks);
  }

  @Test
  void aServerThatDiesLosesItsWeightThoughItsPastWasGood() {
    PolicyFixture p = play(8, 4);
    p.periods(15);
    p.fails.put(1L, 1.0);
    p.periods(6);
    double share = p.fleet.share(0, 1);
    assertTrue(share < 0.06, "a server that died keeps " + share);
  }

  @Test
  void listedSizesStayAFactorOfTheWeight() {
    PolicyFixture p = new PolicyFixture(RecordingCommands.settings());
    p.start(
        List.of(
            new ServerEntry(1, 0, 0, 0, Lifecycle.READY, 3, 0),
            new ServerEntry(2, 0, 0, 0, Lifecycle.READY, 2, 0)),
        2);
    p.periods(20);
    assertEquals(1.5, p.fleet.share(0, 1) / p.fleet.share(0, 2), 0.1);
    p.meanMs.put(2L, 400.0);
    p.triesPerZone = 2000;
    p.periods(25);
    assertEquals(3, p.fleet.share(0, 1) / p.fleet.share(0, 2), 0.6);
  }

  @Test
  void levelsAreNotCutAgainWhileAJamIsClearing() {
    PolicyFixture p = play(8, 4);
    p.periods(3);
    jam(p, 0.5, 700);
    p.periods(2);
    double first = p.fleet.levels.get(1);
    for (double failed : new double[] {0.38, 0.28, 0.2, 0.14}) {
      jam(p, failed, 400);
      p.periods(1);
    }
    assertTrue(p.fleet.levels.get(1) >= first, first + " fell to " + p.fleet.levels.get(1));
  }

  @Test
  void aFallOfGoodTriesKeepsColdServersOutBeforeItIsDeep() {
    for (double failed : new double[] {0.02, 0.1}) {
      PolicyFixture p = play(8, 4);
      p.periods(4);
      jam(p, failed, 200);
      p.step(10_000);
      p.rules.onEndpointList(
          p.now, ListUpdateKind.DELTA, List.of(RecordingCommands.ready(9, 1, p.now)));
      p.period();
      assertEquals(failed < 0.05, p.fleet.tables.get(0).containsKey(9L), "fell by " + failed);
    }
  }

  @Test
  void theHomePullStartsByProxiesAndLeavesWhatAZoneCannotHold() {
    List<RequestClass> one = List.of(RecordingCommands.grade(Idempotency.IDEMPOTENT, 1));
    PolicyFixture p =
        new PolicyFixture(RecordingCommands.settings(AdmissionMode.SHARE, one, 2, 0.08, 0));
    p.rules.onEndpointList(p.now, ListUpdateKind.CACHED, RecordingCommands.servers(40, 2));
    for (int proxy = 0; proxy < 40; proxy++) {
      p.fleet.joined.add(proxy);
      p.rules.onProxyJoined(p.now, proxy, proxy % 4 == 0 ? 1 : 0, 10, true);
    }
    p.rules.onBatchEnd(p.now);
    double[] home = new double[2];
    for (int z = 0; z < 2; z++) {
      for (long id = 1; id <= 40; id++) {
        home[z] += id % 2 == z ? p.fleet.share(z, id) : 0;
      }
    }
    assertTrue(home[1] > 0.8, "a zone with a quarter of the proxies keeps " + home[1]);
    assertTrue(home[0] < 0.72, "a zone with three quarters keeps " + home[0]);
  }

  @Test
  void manyJoinersAfterABreakAreTakenOffWhatDrainsWithinTheGraceOfTheirJoining() {
    PolicyFixture p =
        new PolicyFixture(RecordingCommands.settings())
            .start(RecordingCommands.servers(120, 2), 60);
    p.periods(6);
    p.step(300_000);
    p.list(ListUpdateKind.DELTA, List.of(RecordingCommands.state(1, 1, Lifecycle.DRAINING)));
    for (int proxy = 0; proxy < 60; proxy++) {
      p.rules.onProxyLeft(p.now, proxy);
    }
    p.fleet.bound.clear();
    p.fleet.orders.clear();
    Map<Integer, Long> joined = new TreeMap<>();
    ChannelModel channel = new ChannelModel(p, 3000, 200_000);
    for (int i = 0; i < 40; i++) {
      p.step(100_000);
      channel.answer();
      for (int proxy = 3 * i; proxy < 3 * i + 3 && proxy < 60; proxy++) {
        p.join(proxy, false);
        joined.put(proxy, p.now);
      }
      p.rules.onTimer(p.now, 3);
      p.rules.onBatchEnd(p.now);
      List<String[]> binds =
          p.fleet.orders.stream().map(o -> o.split(" ")).filter(o -> o[0].equals("bind")).toList();
      for (String[] bind : binds) {
        int table = Integer.parseInt(bind[2]);
        assertFalse(p.fleet.tables.get(table).containsKey(1L) && !p.fleet.withdrawn.contains(1L));
      }
      channel.put();
      double arrives = p.now + channel.waiting() / 3000 * RecordingCommands.S + 500_000;
      binds.forEach(
          bind ->
              assertTrue(
                  arrives <= 2_300_000 + joined.getOrDefault(Integer.parseInt(bind[1]), p.now),
                  "proxy " + bind[1] + " hears too late"));
      assertTrue(channel.waiting() <= 4500, "lines waiting " + channel.waiting());
    }
    assertEquals(60, p.fleet.bound.size());
  }

  /**
   * Most proxies have no request in most periods, some have gone silent, some reports are lost:
   * that is not lateness. Guards against a fleet whose new servers all stay out because such
   * proxies add up.
   */
  @Test
  void idleAndSilentProxiesDoNotCountAsLate() {
    PolicyFixture p = play(8, 24);
    for (int i = 0; i < 60; i++) {
      p.step(RecordingCommands.S);
      for (long id = 1; id <= 8; id++) {
        p.rules.onLoadReport(
            p.now, id, 0, 20, 0, RecordingCommands.S, 200_000, RecordingCommands.NO_LOAD);
      }
      for (int proxy = 0; proxy < 24; proxy++) {
        // A third silent from the first on, a third idle most of the time, a third losing some.
        if ((proxy % 3 == 1 && i % 9 == proxy % 9) || (proxy % 3 == 2 && (i + proxy) % 5 > 0)) {
          p.rules.onUsageReport(p.now, proxy, 0, 1, 0, RecordingCommands.S);
        }
      }
      p.rules.onBatchEnd(p.now);
      p.fleet.joined.forEach(
          proxy -> p.rules.onAcknowledgement(p.now, proxy, p.fleet.marks, 200_000));
      if (i == 54) {
        p.rules.onEndpointList(
            p.now, ListUpdateKind.DELTA, List.of(RecordingCommands.ready(999, 1, p.now)));
      }
    }
    assertTrue(
        p.fleet.tables.get(0).containsKey(999L), "listed though most proxies have not been heard");
  }

  @Test
  void anIntakeTooSmallForAllLinesDoesNotCountAsLate() {
    PolicyFixture p = play(100, 40);
    for (int i = 0; i < 12; i++) {
      p.step(RecordingCommands.S);
      for (long id = 1L + i % 3; id <= 100; id += 3) {
        p.rules.onLoadReport(
            p.now, id, 0, 9, 0, 3 * RecordingCommands.S, 200_000, RecordingCommands.NO_LOAD);
      }
      for (int proxy = i % 3; proxy < 40; proxy += 3) {
        p.rules.onUsageReport(p.now, proxy, 0, 30, 0, 3 * RecordingCommands.S);
      }
      p.rules.onBatchEnd(p.now);
      p.fleet.joined.forEach(
          proxy -> p.rules.onAcknowledgement(p.now, proxy, p.fleet.marks, 200_000));
      if (i == 6) {
        p.rules.onEndpointList(
            p.now, ListUpdateKind.DELTA, List.of(RecordingCommands.ready(999, 1, p.now)));
      }
    }
    assertTrue(p.fleet.tables.get(0).containsKey(999L), "listed though lines come in turns");
  }

  @Test
  void theOwnZoneTakesMoreWhileItDoesWellAndLessWhenItDoesWorse() {
    List<RequestClass> one = List.of(RecordingCommands.grade(Idempotency.IDEMPOTENT, 1));
    PolicyFixture p =
        new PolicyFixture(RecordingCommands.settings(AdmissionMode.SHARE, one, 2, 0.08, 0));
    p.start(RecordingCommands.servers(8, 2), 4);
    p.periods(40);
    double home = 0;
    for (long id = 2; id <= 8; id += 2) {
      home += p.fleet.share(0, id);
    }
    assertTrue(home > 0.75, "home share " + home);
    assertEquals(8, p.fleet.tables.get(0).size());
    for (long id = 2; id <= 8; id += 2) {
      p.meanMs.put(id, 600.0);
    }
    p.periods(8);
    double after = 0;
    for (long id = 2; id <= 8; id += 2) {
      after += p.fleet.share(0, id);
    }
    assertTrue(after < 0.45, "home share of a slow zone " + after);
  }

  @Test
  void aFailedWatchIsRenewedAndTheListLossIsLoggedOnce() {
    PolicyFixture p = play(8, 4);
    assertTrue(p.fleet.orders.contains("watch true"));
    p.list(ListUpdateKind.COMPLETE, RecordingCommands.servers(8, 2));
    p.fleet.orders.clear();
    p.list(ListUpdateKind.FAILED, List.of());
    assertTrue(p.fleet.timers.containsKey(2L));
    p.rules.onTimer(p.now, 2);
    assertTrue(p.fleet.orders.contains("watch true"));
    p.list(ListUpdateKind.FAILED, List.of());
    assertEquals(1, p.fleet.logs.stream().filter("endpoint list watch lost"::equals).count());
    p.list(ListUpdateKind.COMPLETE, RecordingCommands.servers(8, 2));
    assertTrue(p.fleet.logs.contains("endpoint list watch restored"));
  }

  /**
   * Instances that lost discovery at one instant must not all call again at one instant, ever
   * faster.
   */
  @Test
  void delaysOfAskingAgainGrowToABoundAndAreSpreadBySeed() {
    List<List<Long>> delays = new ArrayList<>();
    for (long seed : new long[] {0x8c1f30d27a5be964L, 0x1c1f30d27a5be965L}) {
      PolicySettings set = RecordingCommands.settings();
      PolicyFixture p =
          new PolicyFixture(RecordingCommands.seeded(set, seed))
              .start(RecordingCommands.servers(8, 2), 4);
      p.list(ListUpdateKind.COMPLETE, RecordingCommands.servers(8, 2));
      List<Long> own = new ArrayList<>();
      for (int k = 0; k < 40; k++) {
        p.list(ListUpdateKind.FAILED, List.of());
        own.add(p.fleet.timers.get(2L));
      }
      p.list(ListUpdateKind.COMPLETE, RecordingCommands.servers(8, 2));
      p.list(ListUpdateKind.FAILED, List.of());
      assertEquals(own.get(0), p.fleet.timers.get(2L), "begins anew once the list is back");
      assertTrue(own.get(0) >= 375_000 && own.get(0) <= 625_000, "the first " + own);
      assertTrue(
          own.get(2) >= 2 * own.get(0) && own.stream().allMatch(d -> d <= 2_500_000), "" + own);
      assertTrue(own.subList(2, 40).stream().distinct().count() > 10, "spread " + own);
      delays.add(own);
    }
    assertFalse(delays.get(0).equals(delays.get(1)), "by seed");
  }

  /** A probe that was on its way when its server left tells nothing of those that stay. */
  @Test
  void theAnswerOfAServerThatLeftTellsNothing() {
    for (boolean left : new boolean[] {true, false}) {
      PolicyFixture p = play(8, 8);
      p.periods(8);
      if (left) {
        p.list(ListUpdateKind.DELTA, List.of(RecordingCommands.state(1, 1, Lifecycle.DRAINING)));
      }
      for (int k = 0; k < 5; k++) {
        for (int probe = 0; probe < 4; probe++) {
          p.rules.onHealthCheckResult(
              p.now, left ? 1 : 2, HealthCheckResult.OK, 3000, new float[] {1});
        }
        p.period();
      }
      assertEquals(!left, p.fleet.logs.contains("overload started"), "left: " + left);
    }
  }

  @Test
  void slicesAreNotServedButSaidSo() {
    List<RequestClass> one = List.of(RecordingCommands.grade(Idempotency.IDEMPOTENT, 1));
    PolicyFixture p =
        new PolicyFixture(RecordingCommands.settings(AdmissionMode.SHARE, one, 2, 0, 16));
    p.start(RecordingCommands.servers(8, 2), 4);
    p.rules.onSliceAssignment(p.now, 1, true);
    p.periods(3);
    assertTrue(p.fleet.bound.isEmpty());
    assertTrue(p.fleet.logs.stream().anyMatch(l -> l.contains("slices are not served")));
  }

  @Test
  void oddEventsChangeNothing() {
    PolicyFixture p = play(4, 2);
    p.periods(3);
    int before = p.fleet.orders.size();
    p.rules.onLoadReport(p.now, 99, 0, 5, 0, RecordingCommands.S, 1000, RecordingCommands.NO_LOAD);
    p.rules.onLoadReport(p.now, 1, 9, 5, 0, RecordingCommands.S, 1000, RecordingCommands.NO_LOAD);
    p.rules.onLoadReport(p.now, 1, 0, 0, 0, 0, 0, RecordingCommands.NO_LOAD);
    p.rules.onUsageReport(p.now, 99, 0, 5, 0, RecordingCommands.S);
    p.rules.onUsageReport(p.now, 0, 9, 5, 0, RecordingCommands.S);
    p.rules.onUsageReport(p.now, 0, 0, 5, 0, 0);
    p.rules.onHealthCheckResult(
        p.now, 99, HealthCheckResult.UNREACHABLE, 0, RecordingCommands.NO_LOAD);
    p.rules.onAcknowledgement(p.now, 99, 1, 0);
    p.rules.onProxyLeft(p.now, 99);
    p.rules.onTimer(p.now, 77);
    p.rules.onEndpointList(
        p.now, ListUpdateKind.DELTA, List.of(RecordingCommands.state(50, 0, Lifecycle.REMOVED)));
    p.rules.onBatchEnd(p.now);
    assertEquals(before, p.fleet.orders.size());
    p.join(0, true);
    p.rules.onBatchEnd(p.now);
    assertTrue(p.fleet.orders.subList(before, p.fleet.orders.size()).contains("bind 0 0 0"));
  }

  /** One seeded history: deploys, failures, joins, breaks and stalls; the rules hold all along. */
  private static PolicyFixture history(long seed, boolean check) {
    Random random = new Random(seed);
    PolicyFixture p = play(6 + random.nextInt(10), 2 + random.nextInt(8));
    List<Long> alive = new ArrayList<>(p.fleet.tables.get(0).keySet());
    java.util.Map<Long, Long> started = new java.util.TreeMap<>();
    long next = 100;
    double waiting = 0;
    for (int i = 0; i < 60; i++) {
      p.step(10_000);
      List<ServerEntry> changes = new ArrayList<>();
      if (random.nextInt(4) == 0 && alive.size() > 2) {
        long id = alive.remove(random.nextInt(alive.size()));
        changes.add(
            RecordingCommands.state(
                id, 0, random.nextBoolean() ? Lifecycle.REMOVED : Lifecycle.DRAINING));
      }
      if (random.nextInt(4) == 0) {
        alive.add(++next);
        started.put(next, p.now);
        changes.add(RecordingCommands.ready(next, (int) (next % 2), p.now));
      }
      if (random.nextInt(5) == 0) {
        p.fails.put(alive.get(random.nextInt(alive.size())), random.nextDouble());
      }
      if (random.nextInt(6) == 0) {
        p.join(random.nextInt(10), random.nextBoolean());
      }
      if (random.nextInt(8) == 0) {
        int proxy = random.nextInt(10);
        p.rules.onProxyLeft(p.now, proxy);
        p.fleet.joined.remove(proxy);
        p.fleet.bound.remove(proxy);
      }
      p.list(ListUpdateKind.DELTA, changes);
      int lines = p.fleet.linesThisReply + 11 * p.fleet.joined.size();
      if (check) {
        for (ServerEntry e : changes) {
          assertEquals(
              e.lifecycle() != Lifecycle.READY,
              p.fleet.withdrawn.contains(e.server()),
              "withdrawn at once, seed " + seed);
        }
      }
      p.period();
      lines += p.fleet.linesThisReply + 11 * p.fleet.joined.size();
      waiting = Math.max(0, waiting + lines - 3000);
      if (check) {
        assertTrue(waiting <= 4500, "lines waiting " + waiting + ", seed " + seed);
        for (int z = 0; z < 2; z++) {
          long usable =
              p.fleet.tables.get(z).keySet().stream()
                  .filter(id -> !p.fleet.withdrawn.contains(id))
                  .count();
          assertTrue(usable > 0, "bare, seed " + seed);
          long warmOnes =
              alive.stream()
                  .filter(id -> started.getOrDefault(id, 0L) + 10 * RecordingCommands.S <= p.now)
                  .count();
          for (long id : alive) {
            if (2 * warmOnes >= alive.size()
                && started.containsKey(id)
                && p.fleet.tables.get(z).containsKey(id)) {
              double age = (p.now - started.get(id)) / (10.0 * RecordingCommands.S);
              double ready = Math.min(1, 0.1 + 0.9 * age);
              double even = 1.0 / p.fleet.tables.get(z).size();
              assertTrue(
                  p.fleet.share(z, id) < 4 * even * ready + 0.05,
                  "cold server's share " + p.fleet.share(z, id) + ", seed " + seed);
            }
            boolean warm = started.getOrDefault(id, 0L) + 10 * RecordingCommands.S <= p.now;
            assertTrue(!warm || p.fleet.tables.get(z).containsKey(id), "all warm listed " + seed);
          }
        }
        assertTrue(p.fleet.retries.values().stream().allMatch(r -> r <= 1), "seed " + seed);
      }
    }
    return p;
  }

  @Test
  void theRulesHoldOverManyHistories() {
    for (long seed = 1; seed <= 150; seed++) {
      history(seed, true);
    }
  }

  @Test
  void sameEventsSameActions() {
    for (long seed = 1; seed <= 10; seed++) {
      assertEquals(history(seed, false).fleet.orders, history(seed, false).fleet.orders);
    }
  }

  @Test
  void aSlowChannelHoldsBackWhatCanWait() {
    PolicyFixture p = play(12, 8);
    p.periods(2);
    double sent = 0;
    Random random = new Random(3);
    for (int i = 0; i < 60; i++) {
      for (long id = 1; id <= 12; id++) {
        p.meanMs.put(id, 50.0 + 400 * random.nextDouble());
      }
      p.step(RecordingCommands.S);
      for (int z = 0; z < 2; z++) {
        for (long id = 1; id <= 12; id++) {
          p.rules.onLoadReport(
              p.now,
              id,
              z,
              50,
              0,
              RecordingCommands.S,
              Math.round(1000 * p.meanMs.get(id)),
              RecordingCommands.NO_LOAD);
        }
      }
      int marks = p.fleet.marks;
      p.rules.onBatchEnd(p.now);
      if (p.fleet.marks != marks) {
        sent += p.fleet.linesThisReply + 11 * p.fleet.joined.size();
      }
      for (int proxy : p.fleet.joined) {
        p.rules.onAcknowledgement(p.now, proxy, p.fleet.marks, 20 * RecordingCommands.S);
      }
    }
    assertTrue(sent < 60 * 160, "lines sent into a channel that takes 20 s: " + sent);
  }
}
