package pearusher.publish;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import pearusher.server.AppliedUpdates;

/** Updates composed from commands of the policy, applied by simulated proxies. */
class PublishedTablesTest {
  private final PublishedTablesFixture fixture = new PublishedTablesFixture();

  @Test
  void aBoundProxyReceivesTheCompleteTableAndThenOnlyChanges() {
    AppliedUpdates proxy = fixture.join(1);
    fixture.tables.setWeight(0, 5, 0.5);
    fixture.tables.setWeight(0, 6, 0.25);
    fixture.bindProxy(1, 0, 0);
    fixture.publish();
    assertEquals(Map.of("s5", 0.5f, "s6", 0.25f), proxy.usableWeights("read"));
    assertEquals(proxy.usableWeights("read"), proxy.usableWeights("list"));
    fixture.tables.setWeight(0, 5, 0);
    fixture.tables.setWeight(0, 7, 0.125);
    fixture.publish();
    assertEquals(Map.of("s6", 0.25f, "s7", 0.125f), proxy.usableWeights("write"));
    assertEquals(
        List.of(List.of("update", "lines", "s5:0.0,s7:0.125", "back", "s7")),
        fixture.lastUpdate(1));
    fixture.publish();
    assertEquals(2, fixture.updateCounts().get(1));
  }

  /** Class bits identify classes by position. Several tables are sent as parts of one update. */
  @Test
  void classesBoundToDifferentTablesReceiveTheirOwnWeightsInOneUpdate() {
    AppliedUpdates proxy = fixture.join(1);
    fixture.tables.setWeight(3, 5, 0.5);
    fixture.tables.setWeight(4, 6, 0.25);
    fixture.bindProxy(1, 3, 1 | 4);
    fixture.bindProxy(1, 4, 2);
    fixture.setAdmission(3, 1, 0.5, 1);
    fixture.publish();
    assertEquals(Map.of("s5", 0.5f), proxy.usableWeights("read"));
    assertEquals(Map.of("s6", 0.25f), proxy.usableWeights("write"));
    assertEquals(Map.of("s5", 0.5f), proxy.usableWeights("list"));
    assertEquals(0.5f, proxy.tables.get("read").level);
    assertEquals(null, proxy.tables.get("list").level);
    assertEquals(1, proxy.updateCount);
    assertTrue(fixture.lastUpdate(1).size() >= 2);
  }

  /** Guards against a complete table that resets the admission levels at the proxy. */
  @Test
  void admissionLevelsRemainInForceWhenACompleteTableIsSentAgain() {
    AppliedUpdates proxy = fixture.join(1);
    fixture.tables.setWeight(0, 5, 0.5);
    fixture.setAdmission(0, 2, 0.25, 0);
    fixture.bindProxy(1, 0, 0);
    fixture.publish();
    assertEquals(0.25f, proxy.tables.get("write").level);
    fixture.bindProxy(1, 0, 0);
    fixture.publish();
    assertEquals(0.25f, proxy.tables.get("write").level);
    assertEquals(null, proxy.tables.get("read").level);
  }

  @Test
  void clearingATableRemovesItsWeightsAndLevels() {
    AppliedUpdates proxy = fixture.join(1);
    fixture.tables.setWeight(0, 5, 0.5);
    fixture.setAdmission(0, 0, 0.25, 0);
    fixture.bindProxy(1, 0, 0);
    fixture.publish();
    fixture.tables.clearTable(0);
    fixture.tables.setWeight(0, 6, 0.75);
    fixture.publish();
    assertEquals(Map.of("s6", 0.75f), proxy.usableWeights("read"));
    assertEquals(null, proxy.tables.get("read").level);
  }

  /** Guards against accumulating tables while zones are added and removed over the years. */
  @Test
  void aClearedTableWithoutBoundProxiesIsRemoved() {
    AppliedUpdates proxy = fixture.join(1);
    fixture.tables.setWeight(0, 5, 0.5);
    fixture.tables.setWeight(7, 5, 0.5);
    fixture.bindProxy(1, 0, 0);
    fixture.publish();
    fixture.tables.clearTable(0);
    fixture.tables.clearTable(7);
    fixture.publish();
    assertEquals(1, fixture.tables.tableCount());
    fixture.tables.setWeight(0, 6, 0.75);
    fixture.publish();
    assertEquals(Map.of("s6", 0.75f), proxy.usableWeights("read"));
    fixture.tables.removeProxy(1);
    fixture.tables.clearTable(0);
    fixture.publish();
    assertEquals(0, fixture.tables.tableCount());
  }

  @Test
  void theLowerOfTheGlobalAndTheTableLevelIsInForceWithTheRetryPolicyOfTheTable() {
    AppliedUpdates bound = fixture.join(1);
    AppliedUpdates unbound = fixture.join(2);
    fixture.tables.setWeight(0, 5, 0.5);
    fixture.bindProxy(1, 0, 0);
    fixture.setAdmission(0, 0, 0.5, 3);
    fixture.setAdmission(PublishedTables.ALL_TABLES, 1, 0.25, 1);
    fixture.setAdmission(PublishedTables.ALL_TABLES, 2, 0.75, 1);
    fixture.publish();
    assertEquals("0.25 3", bound.tables.get("read").level + " " + bound.tables.get("read").retry);
    assertEquals("0.5 3", bound.tables.get("write").level + " " + bound.tables.get("write").retry);
    assertEquals("0.5 3", bound.tables.get("list").level + " " + bound.tables.get("list").retry);
    assertEquals(
        "0.25 1", unbound.tables.get("read").level + " " + unbound.tables.get("read").retry);
    assertEquals(null, unbound.tables.get("list").level);
    AppliedUpdates joinedLater = fixture.join(3);
    fixture.tables.setEjected(9, true);
    fixture.publish();
    assertEquals(0.25f, joinedLater.tables.get("read").level);
    assertEquals(0.75f, joinedLater.tables.get("write").level);
  }

  @Test
  void ejectionsReachProxiesWhoseTableContainsTheServerAndUnboundProxies() {
    AppliedUpdates bound = fixture.join(1);
    AppliedUpdates boundElsewhere = fixture.join(2);
    AppliedUpdates unbound = fixture.join(3);
    fixture.tables.setWeight(0, 5, 0.5);
    fixture.tables.setWeight(1, 6, 0.5);
    fixture.bindProxy(1, 0, 0);
    fixture.bindProxy(2, 1, 0);
    fixture.publish();
    fixture.tables.setEjected(5, true);
    fixture.tables.requestAck(17, false);
    fixture.publish();
    assertEquals(
        "[s5] [] [s5]",
        bound.ejectedServers + " " + boundElsewhere.ejectedServers + " " + unbound.ejectedServers);
    assertEquals(
        "[17] [] [17]",
        bound.ackNumbers + " " + boundElsewhere.ackNumbers + " " + unbound.ackNumbers);
    fixture.tables.setWeight(1, 5, 0.5);
    fixture.publish();
    assertEquals(
        Map.of("s6", 0.5f),
        boundElsewhere.usableWeights("read"),
        "an ejected server is announced as ejected when it is added");
    fixture.tables.setEjected(5, false);
    fixture.tables.requestAck(18, true);
    fixture.publish();
    assertTrue(
        bound.ejectedServers.isEmpty()
            && boundElsewhere.ejectedServers.isEmpty()
            && unbound.ejectedServers.isEmpty());
    assertEquals(List.of(18), boundElsewhere.ackNumbers);
    fixture.tables.requestAck(19, true);
    fixture.publish();
    assertEquals(List.of(17, 18, 19), unbound.ackNumbers);
  }

  /**
   * Guards against servers that remain ejected at a proxy because of an ejection on an earlier
   * stream or by an earlier process of the assigner.
   */
  @Test
  void aBoundProxyHasExactlyTheEjectionsOfThisAssigner() {
    AppliedUpdates proxy = fixture.join(1);
    proxy.ejectedServers.addAll(List.of("s5", "s8"));
    fixture.tables.setWeight(0, 5, 0.5);
    fixture.tables.setWeight(0, 6, 0.5);
    fixture.tables.setEjected(6, true);
    fixture.bindProxy(1, 0, 0);
    fixture.publish();
    assertEquals(Map.of("s5", 0.5f), proxy.usableWeights("read"));
    assertEquals(new TreeSet<>(List.of("s6", "s8")), proxy.ejectedServers);
    fixture.tables.setWeight(0, 8, 0.5);
    fixture.publish();
    assertEquals(
        Map.of("s5", 0.5f, "s8", 0.5f),
        proxy.usableWeights("read"),
        "a reinstatement is announced when the server is added to a table");
    fixture.tables.setEjected(5, true);
    fixture.publish();
    fixture.tables.removeProxy(1);
    fixture.tables.setEjected(5, false);
    fixture.publish();
    fixture.join(1);
    fixture.bindProxy(1, 0, 0);
    fixture.publish();
    assertEquals(Map.of("s5", 0.5f, "s8", 0.5f), proxy.usableWeights("read"));
  }

  /**
   * Guards against reinstatements that exceed the update budget. A confirmed proxy is sent the
   * reinstatement of a server only if the endpoint list gives a reason to assume that the server
   * was ejected. No proxy is sent the reinstatement of a server that started after this process.
   */
  @Test
  void aConfirmedProxyReceivesReinstatementsOfSuspectedServersOnly() {
    AppliedUpdates proxy = fixture.join(1, true);
    proxy.ejectedServers.add("s6");
    fixture.tables.suspectEjection(6, true);
    fixture.tables.setWeight(0, 5, 0.5);
    fixture.tables.setWeight(0, 6, 0.5);
    fixture.tables.setWeight(0, 7, 0.5);
    fixture.tables.setEjected(7, true);
    fixture.bindProxy(1, 0, 0);
    fixture.publish();
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
        fixture.lastUpdate(1));
    assertEquals(Map.of("s5", 0.5f, "s6", 0.5f), proxy.usableWeights("read"));
    AppliedUpdates unconfirmed = fixture.join(2);
    fixture.bindProxy(2, 0, 0);
    fixture.tables.setWeight(0, 9, 0.5);
    fixture.publish();
    assertEquals(List.of(List.of("update", "lines", "s9:0.5")), fixture.lastUpdate(1));
    assertEquals(Map.of("s5", 0.5f, "s6", 0.5f, "s9", 0.5f), unconfirmed.usableWeights("read"));
    assertEquals(List.of("out", "s7", "back", "s5,s6"), fixture.lastUpdate(2).get(0).subList(5, 9));
  }

  @Test
  void commandsForAProxyThatLeftSendNothing() {
    fixture.join(1);
    fixture.tables.removeProxy(1);
    fixture.bindProxy(1, 0, 0);
    fixture.tables.setWeight(0, 5, 1);
    fixture.tables.setEjected(5, true);
    fixture.tables.requestAck(3, true);
    fixture.publish();
    assertEquals(Map.of(), fixture.updateCounts());
  }

  /** An update has at most 64 parts of 1 MiB each. The table is larger than any in operation. */
  @Test
  void aVeryLargeTableIsSentInSeveralPartsOfOneUpdate() {
    AppliedUpdates proxy = fixture.join(1);
    for (int server = 0; server < 60_000; server++) {
      fixture.tables.setWeight(0, server, 0.5);
    }
    fixture.bindProxy(1, 0, 0);
    fixture.publish();
    assertEquals(60_000, proxy.usableWeights("read").size());
    assertTrue(fixture.lastUpdate(1).size() <= 64);
    assertEquals(1, proxy.updateCount);
  }

  /** Guards the rate limit of updates against false acknowledgements. */
  @Test
  void onlyAPendingAcknowledgementIsAcceptedAndOnlyOnce() {
    fixture.join(1);
    fixture.join(2);
    for (int number = 7; number <= 9; number++) {
      fixture.tables.requestAck(number, true);
      fixture.publish();
    }
    long nowUs = PublishedTablesFixture.NOW_US + 500_000;
    assertFalse(fixture.tables.acknowledge(nowUs, 1, 6, 100));
    assertFalse(
        fixture.tables.acknowledge(nowUs, 1, 8, 500_001), "the request was made 500 000 us ago");
    assertTrue(fixture.tables.acknowledge(nowUs, 1, 8, 500_000));
    assertFalse(fixture.tables.acknowledge(nowUs, 1, 8, 100), "acknowledged twice");
    assertFalse(fixture.tables.acknowledge(nowUs, 1, 7, 100), "covered by a later acknowledgement");
    assertTrue(fixture.tables.acknowledge(nowUs, 1, 9, 100));
    assertTrue(fixture.tables.acknowledge(nowUs, 2, 7, 100));
    assertFalse(fixture.tables.acknowledge(nowUs, 3, 7, 100), "the proxy is not joined");
    fixture.tables.addProxy(2);
    assertFalse(fixture.tables.acknowledge(nowUs, 2, 9, 100), "requested on an earlier stream");
  }

  /**
   * Guards against announcements that the update budget does not cover. A proxy without the server
   * in its tables does not need the server's state.
   */
  @Test
  void ejectionOfAServerInNoTableOfTheProxyIsAnnouncedWhenATableGainsIt() {
    AppliedUpdates proxy = fixture.join(1);
    fixture.tables.setWeight(0, 5, 0.5);
    fixture.tables.setWeight(0, 6, 0.5);
    fixture.bindProxy(1, 0, 0);
    fixture.publish();
    fixture.tables.setWeight(0, 6, 0);
    fixture.publish();
    fixture.tables.setEjected(6, true);
    fixture.publish();
    assertEquals(2, proxy.updateCount);
    fixture.tables.setWeight(0, 6, 0.5);
    fixture.publish();
    assertEquals(
        Map.of("s5", 0.5f),
        proxy.usableWeights("read"),
        "the server is announced as ejected when it is added to a table");
  }
}
