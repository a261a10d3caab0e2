package pearusher.publish;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import pearusher.server.AppliedUpdates;

/** Commands as WIRE defines them, against proxies that apply updates as PROTOCOL says. */
class PublishedTablesTest {
  private final PublishedTablesFixture site = new PublishedTablesFixture();

  @Test
  void aBoundProxyReceivesTheCompleteTableAndThenOnlyChanges() {
    AppliedUpdates proxy = site.join(1);
    site.tables.setWeight(0, 5, 0.5);
    site.tables.setWeight(0, 6, 0.25);
    site.bindProxy(1, 0, 0);
    site.publish();
    assertEquals(Map.of("s5", 0.5f, "s6", 0.25f), proxy.usableWeights("read"));
    assertEquals(proxy.usableWeights("read"), proxy.usableWeights("list"));
    site.tables.setWeight(0, 5, 0);
    site.tables.setWeight(0, 7, 0.125);
    site.publish();
    assertEquals(Map.of("s6", 0.25f, "s7", 0.125f), proxy.usableWeights("write"));
    assertEquals(
        List.of(List.of("update", "lines", "s5:0.0,s7:0.125", "back", "s7")), site.lastUpdate(1));
    site.publish();
    assertEquals(2, site.updateCounts().get(1));
  }

  /** Class bits name classes by position; several tables are sent as parts of one update. */
  @Test
  void classesBoundToDifferentTablesReceiveTheirOwnWeightsInOneUpdate() {
    AppliedUpdates proxy = site.join(1);
    site.tables.setWeight(3, 5, 0.5);
    site.tables.setWeight(4, 6, 0.25);
    site.bindProxy(1, 3, 1 | 4);
    site.bindProxy(1, 4, 2);
    site.setAdmission(3, 1, 0.5, 1);
    site.publish();
    assertEquals(Map.of("s5", 0.5f), proxy.usableWeights("read"));
    assertEquals(Map.of("s6", 0.25f), proxy.usableWeights("write"));
    assertEquals(Map.of("s5", 0.5f), proxy.usableWeights("list"));
    assertEquals(0.5f, proxy.tables.get("read").level);
    assertEquals(null, proxy.tables.get("list").level);
    assertEquals(1, proxy.updateCount);
    assertTrue(site.lastUpdate(1).size() >= 2);
  }

  /** Guards against a complete table that would reset the admission levels set before. */
  @Test
  void admissionLevelsRemainInForceWhenACompleteTableIsSentAgain() {
    AppliedUpdates proxy = site.join(1);
    site.tables.setWeight(0, 5, 0.5);
    site.setAdmission(0, 2, 0.25, 0);
    site.bindProxy(1, 0, 0);
    site.publish();
    assertEquals(0.25f, proxy.tables.get("write").level);
    site.bindProxy(1, 0, 0);
    site.publish();
    assertEquals(0.25f, proxy.tables.get("write").level);
    assertEquals(null, proxy.tables.get("read").level);
  }

  @Test
  void clearingATableRemovesItsWeightsAndLevels() {
    AppliedUpdates proxy = site.join(1);
    site.tables.setWeight(0, 5, 0.5);
    site.setAdmission(0, 0, 0.25, 0);
    site.bindProxy(1, 0, 0);
    site.publish();
    site.tables.clearTable(0);
    site.tables.setWeight(0, 6, 0.75);
    site.publish();
    assertEquals(Map.of("s6", 0.75f), proxy.usableWeights("read"));
    assertEquals(null, proxy.tables.get("read").level);
  }

  /** Zones are added and removed over the years: their tables must not accumulate. */
  @Test
  void aClearedTableWithoutBoundProxiesIsRemoved() {
    AppliedUpdates proxy = site.join(1);
    site.tables.setWeight(0, 5, 0.5);
    site.tables.setWeight(7, 5, 0.5);
    site.bindProxy(1, 0, 0);
    site.publish();
    site.tables.clearTable(0);
    site.tables.clearTable(7);
    site.publish();
    assertEquals(1, site.tables.tableCount());
    site.tables.setWeight(0, 6, 0.75);
    site.publish();
    assertEquals(Map.of("s6", 0.75f), proxy.usableWeights("read"));
    site.tables.removeProxy(1);
    site.tables.clearTable(0);
    site.publish();
    assertEquals(0, site.tables.tableCount());
  }

  @Test
  void theLowerOfTheGlobalAndTheTableLevelIsInForceWithTheRetryPolicyOfTheTable() {
    AppliedUpdates bound = site.join(1);
    AppliedUpdates unbound = site.join(2);
    site.tables.setWeight(0, 5, 0.5);
    site.bindProxy(1, 0, 0);
    site.setAdmission(0, 0, 0.5, 3);
    site.setAdmission(PublishedTables.ALL_TABLES, 1, 0.25, 1);
    site.setAdmission(PublishedTables.ALL_TABLES, 2, 0.75, 1);
    site.publish();
    assertEquals("0.25 3", bound.tables.get("read").level + " " + bound.tables.get("read").retry);
    assertEquals("0.5 3", bound.tables.get("write").level + " " + bound.tables.get("write").retry);
    assertEquals("0.5 3", bound.tables.get("list").level + " " + bound.tables.get("list").retry);
    assertEquals(
        "0.25 1", unbound.tables.get("read").level + " " + unbound.tables.get("read").retry);
    assertEquals(null, unbound.tables.get("list").level);
    AppliedUpdates joinedLater = site.join(3);
    site.tables.setEjected(9, true);
    site.publish();
    assertEquals(0.25f, joinedLater.tables.get("read").level);
    assertEquals(0.75f, joinedLater.tables.get("write").level);
  }

  @Test
  void ejectionsReachProxiesWhoseTableContainsTheServerAndUnboundProxies() {
    AppliedUpdates bound = site.join(1);
    AppliedUpdates boundElsewhere = site.join(2);
    AppliedUpdates unbound = site.join(3);
    site.tables.setWeight(0, 5, 0.5);
    site.tables.setWeight(1, 6, 0.5);
    site.bindProxy(1, 0, 0);
    site.bindProxy(2, 1, 0);
    site.publish();
    site.tables.setEjected(5, true);
    site.tables.requestAck(17, false);
    site.publish();
    assertEquals(
        "[s5] [] [s5]",
        bound.ejectedServers + " " + boundElsewhere.ejectedServers + " " + unbound.ejectedServers);
    assertEquals(
        "[17] [] [17]",
        bound.ackNumbers + " " + boundElsewhere.ackNumbers + " " + unbound.ackNumbers);
    site.tables.setWeight(1, 5, 0.5);
    site.publish();
    assertEquals(
        Map.of("s6", 0.5f),
        boundElsewhere.usableWeights("read"),
        "an ejected server is added as ejected");
    site.tables.setEjected(5, false);
    site.tables.requestAck(18, true);
    site.publish();
    assertTrue(
        bound.ejectedServers.isEmpty()
            && boundElsewhere.ejectedServers.isEmpty()
            && unbound.ejectedServers.isEmpty());
    assertEquals(List.of(18), boundElsewhere.ackNumbers);
    site.tables.requestAck(19, true);
    site.publish();
    assertEquals(List.of(17, 18, 19), unbound.ackNumbers);
  }

  /**
   * Guards against servers that stay ejected because of an earlier stream, or of an assigner before
   * its restart.
   */
  @Test
  void aBoundProxyIsLeftWithExactlyTheEjectionsOfThisAssigner() {
    AppliedUpdates proxy = site.join(1);
    proxy.ejectedServers.addAll(List.of("s5", "s8"));
    site.tables.setWeight(0, 5, 0.5);
    site.tables.setWeight(0, 6, 0.5);
    site.tables.setEjected(6, true);
    site.bindProxy(1, 0, 0);
    site.publish();
    assertEquals(Map.of("s5", 0.5f), proxy.usableWeights("read"));
    assertEquals(new TreeSet<>(List.of("s6", "s8")), proxy.ejectedServers);
    site.tables.setWeight(0, 8, 0.5);
    site.publish();
    assertEquals(
        Map.of("s5", 0.5f, "s8", 0.5f),
        proxy.usableWeights("read"),
        "announced when a table contains the server");
    site.tables.setEjected(5, true);
    site.publish();
    site.tables.removeProxy(1);
    site.tables.setEjected(5, false);
    site.publish();
    site.join(1);
    site.bindProxy(1, 0, 0);
    site.publish();
    assertEquals(Map.of("s5", 0.5f, "s8", 0.5f), proxy.usableWeights("read"));
  }

  /**
   * Guards the update budget: a confirmed proxy is sent the reinstatement of a server only if the
   * list gives a reason to assume that it was ever ejected, and no proxy is sent that of a server
   * which started after this process.
   */
  @Test
  void aConfirmedProxyReceivesReinstatementsOfSuspectedServersOnly() {
    AppliedUpdates proxy = site.join(1, true);
    proxy.ejectedServers.add("s6");
    site.tables.suspectEjection(6, true);
    site.tables.setWeight(0, 5, 0.5);
    site.tables.setWeight(0, 6, 0.5);
    site.tables.setWeight(0, 7, 0.5);
    site.tables.setEjected(7, true);
    site.bindProxy(1, 0, 0);
    site.publish();
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
        site.lastUpdate(1));
    assertEquals(Map.of("s5", 0.5f, "s6", 0.5f), proxy.usableWeights("read"));
    AppliedUpdates unconfirmed = site.join(2);
    site.bindProxy(2, 0, 0);
    site.tables.setWeight(0, 9, 0.5);
    site.publish();
    assertEquals(List.of(List.of("update", "lines", "s9:0.5")), site.lastUpdate(1));
    assertEquals(Map.of("s5", 0.5f, "s6", 0.5f, "s9", 0.5f), unconfirmed.usableWeights("read"));
    assertEquals(List.of("out", "s7", "back", "s5,s6"), site.lastUpdate(2).get(0).subList(5, 9));
  }

  @Test
  void commandsForAProxyThatLeftSendNothing() {
    site.join(1);
    site.tables.removeProxy(1);
    site.bindProxy(1, 0, 0);
    site.tables.setWeight(0, 5, 1);
    site.tables.setEjected(5, true);
    site.tables.requestAck(3, true);
    site.publish();
    assertEquals(Map.of(), site.updateCounts());
  }

  /** At most 64 parts of 1 MiB each, at a size that no site has. */
  @Test
  void aHugeTableIsSentInSeveralPartsOfOneUpdate() {
    AppliedUpdates proxy = site.join(1);
    for (int server = 0; server < 60_000; server++) {
      site.tables.setWeight(0, server, 0.5);
    }
    site.bindProxy(1, 0, 0);
    site.publish();
    assertEquals(60_000, proxy.usableWeights("read").size());
    assertTrue(site.lastUpdate(1).size() <= 64);
    assertEquals(1, proxy.updateCount);
  }

  /** Guards the rate limit of updates against wrong acknowledgements. */
  @Test
  void onlyAPendingAcknowledgementIsAcceptedAndOnlyOnce() {
    site.join(1);
    site.join(2);
    for (int number = 7; number <= 9; number++) {
      site.tables.requestAck(number, true);
      site.publish();
    }
    long nowUs = PublishedTablesFixture.NOW_US + 500_000;
    assertFalse(site.tables.acknowledge(nowUs, 1, 6, 100));
    assertFalse(site.tables.acknowledge(nowUs, 1, 8, 500_001), "requested half a second ago");
    assertTrue(site.tables.acknowledge(nowUs, 1, 8, 500_000));
    assertFalse(site.tables.acknowledge(nowUs, 1, 8, 100), "twice");
    assertFalse(site.tables.acknowledge(nowUs, 1, 7, 100), "covered by a later one");
    assertTrue(site.tables.acknowledge(nowUs, 1, 9, 100));
    assertTrue(site.tables.acknowledge(nowUs, 2, 7, 100));
    assertFalse(site.tables.acknowledge(nowUs, 3, 7, 100), "not joined");
    site.tables.addProxy(2);
    assertFalse(site.tables.acknowledge(nowUs, 2, 9, 100), "of an earlier stream");
  }

  /**
   * Guards the update budget against announcements that it does not cover: a proxy without the
   * server does not need its state.
   */
  @Test
  void ejectionOfAServerInNoTableOfTheProxyIsAnnouncedOnceATableContainsIt() {
    AppliedUpdates proxy = site.join(1);
    site.tables.setWeight(0, 5, 0.5);
    site.tables.setWeight(0, 6, 0.5);
    site.bindProxy(1, 0, 0);
    site.publish();
    site.tables.setWeight(0, 6, 0);
    site.publish();
    site.tables.setEjected(6, true);
    site.publish();
    assertEquals(2, proxy.updateCount);
    site.tables.setWeight(0, 6, 0.5);
    site.publish();
    assertEquals(
        Map.of("s5", 0.5f), proxy.usableWeights("read"), "it is ejected once a table contains it");
  }
}
