package pearusher.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class EjectionQueueTest {
  private final CommandLog log = new CommandLog();
  private final EjectionQueue queue = new EjectionQueue(log.commands());

  private Server drained(long id, long nowUs) {
    Server server = new Server(id, id);
    queue.onLifecycle(nowUs, server, Lifecycle.DRAINING);
    return server;
  }

  @Test
  void aServerThatDrainsIsEjectedOnceAndReinstatedWhenReady() {
    Server server = drained(7, 100);
    assertTrue(server.ejected);
    assertEquals(100, server.ejectionChangedUs);
    queue.onLifecycle(200, server, Lifecycle.REMOVED);
    assertEquals(100, server.ejectionChangedUs, "the server was already ejected");
    assertEquals(1, queue.ejectionCount());
    queue.publishEjections(id -> true);
    queue.onLifecycle(300, server, Lifecycle.READY);
    assertFalse(server.ejected);
    assertTrue(queue.isReinstatementPending(7));
    assertFalse(queue.hasEjections());
  }

  @Test
  void aServerThatIsReadyAgainCancelsItsPendingEjection() {
    Server server = drained(7, 100);
    queue.onLifecycle(200, server, Lifecycle.READY);
    assertFalse(queue.hasEjections());
    assertFalse(queue.hasReinstatements());
  }

  @Test
  void ejectionsArePublishedInTheOrderInWhichServersDrained() {
    drained(9, 100);
    drained(3, 200);
    drained(5, 300);
    assertEquals(OptionalLong.of(9), queue.oldestEjection());
    List<Long> published = new ArrayList<>();
    queue.publishEjections(
        id -> {
          published.add(id);
          return id != 3;
        });
    assertEquals(List.of(9L, 3L, 5L), published);
    assertEquals(
        OptionalLong.of(3),
        queue.oldestEjection(),
        "the ejection that was not published stays pending");
    assertEquals(1, queue.countEjections(id -> id == 3));
  }

  @Test
  void aRiskOfStaleEjectionsIsReportedOnlyWhenItRises() {
    Server server = new Server(7, 7);
    queue.raiseStaleEjectionRisk(server, StaleEjectionRisk.UNCONFIRMED_PROXIES);
    queue.raiseStaleEjectionRisk(server, StaleEjectionRisk.NONE);
    queue.raiseStaleEjectionRisk(server, StaleEjectionRisk.ALL_PROXIES);
    queue.raiseStaleEjectionRisk(server, StaleEjectionRisk.ALL_PROXIES);
    queue.raiseStaleEjectionRisk(server, StaleEjectionRisk.UNCONFIRMED_PROXIES);
    assertEquals(
        List.of("reportStaleEjectionRisk[7, false]", "reportStaleEjectionRisk[7, true]"),
        log.lines);
    assertEquals(StaleEjectionRisk.ALL_PROXIES, server.staleEjectionRisk);
  }

  @Test
  void theLowerRiskAffectsOnlyUnconfirmedProxies() {
    ProxyState proxy = new ProxyState(0, true, 1, 0);
    assertFalse(StaleEjectionRisk.NONE.affects(proxy));
    assertTrue(StaleEjectionRisk.UNCONFIRMED_PROXIES.affects(proxy));
    proxy.confirmed = true;
    assertFalse(StaleEjectionRisk.UNCONFIRMED_PROXIES.affects(proxy));
    assertTrue(StaleEjectionRisk.ALL_PROXIES.affects(proxy));
  }
}
