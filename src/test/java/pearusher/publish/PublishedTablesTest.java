package pearusher.publish;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pearusher.protocol.RespReader;
import pearusher.server.TestPeers;

/** Orders as WIRE means them, against proxies that apply updates as PROTOCOL says. */
class PublishedTablesTest {
  private static final List<String> CLASSES = List.of("read", "write", "list");
  private PublishedTables tables;
  private final Map<Integer, TestPeers.AppliedUpdates> proxies = new TreeMap<>();
  private final Map<Integer, Integer> messages = new TreeMap<>();
  private final Map<Integer, List<List<String>>> last = new TreeMap<>();

  @BeforeEach
  void fresh() {
    tables = new PublishedTables(CLASSES, id -> "s" + id);
    LongStream.range(0, 9).forEach(server -> tables.suspectEjection(server, false));
  }

  private TestPeers.AppliedUpdates join(int proxy) {
    return join(proxy, false);
  }

  private TestPeers.AppliedUpdates join(int proxy, boolean fresh) {
    tables.addProxy(proxy);
    if (fresh) {
      tables.confirmProxy(proxy);
    }
    return proxies.computeIfAbsent(proxy, p -> new TestPeers.AppliedUpdates(CLASSES));
  }

  private void turn() throws Exception {
    last.clear();
    Map<Integer, byte[]> sent = new TreeMap<>();
    tables.publish(
        1_000_000,
        (proxy, message) -> assertEquals(null, sent.put(proxy, message), "two messages in a turn"));
    for (Map.Entry<Integer, byte[]> e : sent.entrySet()) {
      messages.merge(e.getKey(), 1, Integer::sum);
      RespReader reader = new RespReader(RespReader.MAX_MESSAGE_BYTES);
      ByteBuffer from = ByteBuffer.wrap(e.getValue());
      List<List<String>> parts = new ArrayList<>();
      for (List<String> words = reader.next(from); words != null; words = reader.next(from)) {
        parts.add(words);
        proxies.get(e.getKey()).update(words);
      }
      last.put(e.getKey(), parts);
      assertEquals(List.of(), proxies.get(e.getKey()).faults);
    }
  }

  @Test
  void aBindBringsTheWholeTableAndThenItsChangesOnly() throws Exception {
    TestPeers.AppliedUpdates one = join(1);
    tables.setWeight(0, 5, 0.5);
    tables.setWeight(0, 6, 0.25);
    tables.bindProxy(1, 0, 0);
    turn();
    assertEquals(Map.of("s5", 0.5f, "s6", 0.25f), one.open("read"));
    assertEquals(one.open("read"), one.open("list"));
    tables.setWeight(0, 5, 0);
    tables.setWeight(0, 7, 0.125);
    turn();
    assertEquals(Map.of("s6", 0.25f, "s7", 0.125f), one.open("write"));
    assertEquals(List.of(List.of("update", "lines", "s5:0.0,s7:0.125", "back", "s7")), last.get(1));
    turn();
    assertEquals(2, messages.get(1));
  }

  /** Class bits name classes by position; tables of several classes go as parts of one message. */
  @Test
  void classesMaySitOnDifferentTables() throws Exception {
    TestPeers.AppliedUpdates one = join(1);
    tables.setWeight(3, 5, 0.5);
    tables.setWeight(4, 6, 0.25);
    tables.bindProxy(1, 3, 1 | 4);
    tables.bindProxy(1, 4, 2);
    tables.setAdmission(3, 1, 0.5, 1);
    turn();
    assertEquals(Map.of("s5", 0.5f), one.open("read"));
    assertEquals(Map.of("s6", 0.25f), one.open("write"));
    assertEquals(Map.of("s5", 0.5f), one.open("list"));
    assertEquals(0.5f, one.by.get("read").level);
    assertEquals(null, one.by.get("list").level);
    assertEquals(1, one.messages);
    assertTrue(last.get(1).size() >= 2);
  }

  /** Guards against a whole table that would lift the levels ordered before. */
  @Test
  void levelsOutlastAWholeTable() throws Exception {
    TestPeers.AppliedUpdates one = join(1);
    tables.setWeight(0, 5, 0.5);
    tables.setAdmission(0, 2, 0.25, 0);
    tables.bindProxy(1, 0, 0);
    turn();
    assertEquals(0.25f, one.by.get("write").level);
    tables.bindProxy(1, 0, 0);
    turn();
    assertEquals(0.25f, one.by.get("write").level);
    assertEquals(null, one.by.get("read").level);
  }

  @Test
  void clearingForgetsLinesAndLevels() throws Exception {
    TestPeers.AppliedUpdates one = join(1);
    tables.setWeight(0, 5, 0.5);
    tables.setAdmission(0, 0, 0.25, 0);
    tables.bindProxy(1, 0, 0);
    turn();
    tables.clearTable(0);
    tables.setWeight(0, 6, 0.75);
    turn();
    assertEquals(Map.of("s6", 0.75f), one.open("read"));
    assertEquals(null, one.by.get("read").level);
  }

  /**
   * A table that is cleared while nobody follows it is not kept: zones come and go over the years.
   */
  @Test
  void aClearedTableOfNobodyIsNotKept() throws Exception {
    TestPeers.AppliedUpdates one = join(1);
    tables.setWeight(0, 5, 0.5);
    tables.setWeight(7, 5, 0.5);
    tables.bindProxy(1, 0, 0);
    turn();
    tables.clearTable(0);
    tables.clearTable(7);
    turn();
    assertEquals(1, tables.tableCount());
    tables.setWeight(0, 6, 0.75);
    turn();
    assertEquals(Map.of("s6", 0.75f), one.open("read"));
    tables.removeProxy(1);
    tables.clearTable(0);
    turn();
    assertEquals(0, tables.tableCount());
  }

  /**
   * Of the level for all and the table's own the lower prevails, with the table's own way of
   * retrying.
   */
  @Test
  void levelsCombine() throws Exception {
    TestPeers.AppliedUpdates bound = join(1);
    TestPeers.AppliedUpdates unbound = join(2);
    tables.setWeight(0, 5, 0.5);
    tables.bindProxy(1, 0, 0);
    tables.setAdmission(0, 0, 0.5, 3);
    tables.setAdmission(PublishedTables.ALL_TABLES, 1, 0.25, 1);
    tables.setAdmission(PublishedTables.ALL_TABLES, 2, 0.75, 1);
    turn();
    assertEquals("0.25 3", bound.by.get("read").level + " " + bound.by.get("read").retry);
    assertEquals("0.5 3", bound.by.get("write").level + " " + bound.by.get("write").retry);
    assertEquals("0.5 3", bound.by.get("list").level + " " + bound.by.get("list").retry);
    assertEquals("0.25 1", unbound.by.get("read").level + " " + unbound.by.get("read").retry);
    assertEquals(null, unbound.by.get("list").level);
    TestPeers.AppliedUpdates late = join(3);
    tables.setEjected(9, true);
    turn();
    assertEquals(0.25f, late.by.get("read").level);
    assertEquals(0.75f, late.by.get("write").level);
  }

  /**
   * A withdrawal reaches who holds the server by a table of ours, and all whose tables aren't ours.
   */
  @Test
  void withdrawalsReachWhoHoldsTheServer() throws Exception {
    TestPeers.AppliedUpdates holds = join(1);
    TestPeers.AppliedUpdates other = join(2);
    TestPeers.AppliedUpdates unbound = join(3);
    tables.setWeight(0, 5, 0.5);
    tables.setWeight(1, 6, 0.5);
    tables.bindProxy(1, 0, 0);
    tables.bindProxy(2, 1, 0);
    turn();
    tables.setEjected(5, true);
    tables.requestAck(17, false);
    turn();
    assertEquals("[s5] [] [s5]", holds.out + " " + other.out + " " + unbound.out);
    assertEquals("[17] [] [17]", holds.tickets + " " + other.tickets + " " + unbound.tickets);
    tables.setWeight(1, 5, 0.5);
    turn();
    assertEquals(
        Map.of("s6", 0.5f), other.open("read"), "a line of a withdrawn server comes shut out");
    tables.setEjected(5, false);
    tables.requestAck(18, true);
    turn();
    assertTrue(holds.out.isEmpty() && other.out.isEmpty() && unbound.out.isEmpty());
    assertEquals(List.of(18), other.tickets);
    tables.requestAck(19, true);
    turn();
    assertEquals(List.of(17, 18, 19), unbound.tickets);
  }

  /**
   * Guards against servers that stay shut out: by an earlier stream, or an assigner before a
   * restart.
   */
  @Test
  void aBindLeavesExactlyOurWithdrawals() throws Exception {
    TestPeers.AppliedUpdates one = join(1);
    one.out.addAll(List.of("s5", "s8"));
    tables.setWeight(0, 5, 0.5);
    tables.setWeight(0, 6, 0.5);
    tables.setEjected(6, true);
    tables.bindProxy(1, 0, 0);
    turn();
    assertEquals(Map.of("s5", 0.5f), one.open("read"));
    assertEquals(new TreeSet<>(List.of("s6", "s8")), one.out);
    tables.setWeight(0, 8, 0.5);
    turn();
    assertEquals(
        Map.of("s5", 0.5f, "s8", 0.5f), one.open("read"), "told when a table brings the server");
    tables.setEjected(5, true);
    turn();
    tables.removeProxy(1);
    tables.setEjected(5, false);
    turn();
    join(1);
    tables.bindProxy(1, 0, 0);
    turn();
    assertEquals(Map.of("s5", 0.5f, "s8", 0.5f), one.open("read"));
  }

  /**
   * Guards the queue: a fresh proxy hears of a server that it is back only where the list gives a
   * reason to think that it was ever out, and nobody hears it of one that started since this
   * process runs.
   */
  @Test
  void aFreshProxyHearsOfDoubtedServersOnly() throws Exception {
    TestPeers.AppliedUpdates one = join(1, true);
    one.out.add("s6");
    tables.suspectEjection(6, true);
    tables.setWeight(0, 5, 0.5);
    tables.setWeight(0, 6, 0.5);
    tables.setWeight(0, 7, 0.5);
    tables.setEjected(7, true);
    tables.bindProxy(1, 0, 0);
    turn();
    assertEquals(
        List.of(
            List.of(
                "update",
                "whole",
                "1",
                "lines",
                "s5:0.5,s6:0.5,s7:0.5",
                "out",
                "s7",
                "back",
                "s6")),
        last.get(1));
    assertEquals(Map.of("s5", 0.5f, "s6", 0.5f), one.open("read"));
    TestPeers.AppliedUpdates two = join(2);
    tables.bindProxy(2, 0, 0);
    tables.setWeight(0, 9, 0.5);
    turn();
    assertEquals(List.of(List.of("update", "lines", "s9:0.5")), last.get(1));
    assertEquals(Map.of("s5", 0.5f, "s6", 0.5f, "s9", 0.5f), two.open("read"));
    assertEquals(List.of("out", "s7", "back", "s5,s6"), last.get(2).get(0).subList(5, 9));
  }

  @Test
  void ordersForWhoHasLeftDoNothing() throws Exception {
    join(1);
    tables.removeProxy(1);
    tables.bindProxy(1, 0, 0);
    tables.setWeight(0, 5, 1);
    tables.setEjected(5, true);
    tables.requestAck(3, true);
    turn();
    assertEquals(Map.of(), messages);
  }

  /** At most 64 parts and 1 MiB a part, at a size that no site has. */
  @Test
  void hugeTablesGoInParts() throws Exception {
    TestPeers.AppliedUpdates one = join(1);
    for (int server = 0; server < 60_000; server++) {
      tables.setWeight(0, server, 0.5);
    }
    tables.bindProxy(1, 0, 0);
    turn();
    assertEquals(60_000, one.open("read").size());
    assertTrue(last.get(1).size() <= 64);
    assertEquals(1, one.messages);
  }

  /**
   * Guards the channel's pace against spoilt answers: only a mark that is out can be answered,
   * once.
   */
  @Test
  void onlyAMarkThatIsOutIsAnswered() throws Exception {
    join(1);
    join(2);
    for (int mark = 7; mark <= 9; mark++) {
      tables.requestAck(mark, true);
      turn();
    }
    long now = 1_500_000;
    assertFalse(tables.acknowledge(now, 1, 6, 100));
    assertFalse(tables.acknowledge(now, 1, 8, 500_001), "it is half a second old");
    assertTrue(tables.acknowledge(now, 1, 8, 500_000));
    assertFalse(tables.acknowledge(now, 1, 8, 100), "twice");
    assertFalse(tables.acknowledge(now, 1, 7, 100), "before one that was answered");
    assertTrue(tables.acknowledge(now, 1, 9, 100));
    assertTrue(tables.acknowledge(now, 2, 7, 100));
    assertFalse(tables.acknowledge(now, 3, 7, 100), "who is not joined");
    tables.addProxy(2);
    assertFalse(tables.acknowledge(now, 2, 9, 100), "of an earlier stream");
  }

  /**
   * Guards the queue against words that nobody counts: who holds a server by no table needs none of
   * it.
   */
  @Test
  void aServerThatNoTableBringsIsNotTold() throws Exception {
    TestPeers.AppliedUpdates one = join(1);
    tables.setWeight(0, 5, 0.5);
    tables.setWeight(0, 6, 0.5);
    tables.bindProxy(1, 0, 0);
    turn();
    tables.setWeight(0, 6, 0);
    turn();
    tables.setEjected(6, true);
    turn();
    assertEquals(2, one.messages);
    tables.setWeight(0, 6, 0.5);
    turn();
    assertEquals(Map.of("s5", 0.5f), one.open("read"), "it is out once a table brings it");
  }
}
