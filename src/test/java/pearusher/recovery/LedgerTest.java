package pearusher.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pearusher.policy.AdmissionLevel;
import pearusher.policy.Idempotency;
import pearusher.policy.Lifecycle;

/** The missing entries of a rejoining proxy, and the stored data that a start trusts. */
class LedgerTest {
  private static final long HOUR_US = 3_600_000_000L;
  private static final String CONFIGURED_NAMES = "n0 lookup,order north";
  private static final int PROXY = 3;
  private static final int UNKNOWN_PROXY = 4;
  private static final int FIRST_ACK = 11;

  private final Map<String, byte[]> store = new HashMap<>();
  private long nowUs = 1_000_000_000_000_000L;

  private Ledger recover() {
    return recover(RecoveryTrust.FULL, CONFIGURED_NAMES, nowUs, false);
  }

  private Ledger recover(
      RecoveryTrust storeTrust, String configuredNames, long startUs, boolean hasOtherAssigners) {
    return LedgerRecovery.recover(
        new HashMap<>(store),
        new RecoveryConditions(storeTrust, configuredNames, startUs, HOUR_US, hasOtherAssigners));
  }

  private void endIteration(Ledger ledger) {
    nowUs += 1000;
    ledger.endIteration(nowUs).ifPresent(changes -> changes.forEach(store::put, store::remove));
  }

  private static ListedServer server(String name, Lifecycle lifecycle) {
    return new ListedServer(name, "127.0.0.1:1", 0, 0, 0, lifecycle, 1, 0);
  }

  /** Returns a ledger with a table of two servers, which the proxy is bound to. */
  private Ledger ledgerWithBoundProxy() {
    Ledger ledger = recover();
    ledger.onEndpointList(
        7, false, List.of(server("a", Lifecycle.READY), server("b", Lifecycle.READY)));
    ledger.setWeight(0, "a", 1.5);
    ledger.setWeight(0, "b", 0.5);
    ledger.setAdmission(0, 1, new AdmissionLevel(0.8, 0));
    assertEquals(Optional.empty(), ledger.onProxyJoined(PROXY, true));
    ledger.bindProxy(PROXY, 0, true);
    ledger.requestAck(FIRST_ACK);
    ledger.onMessageSent(PROXY);
    endIteration(ledger);
    return ledger;
  }

  /** Returns a ledger with a table of two servers, which the proxy has acknowledged. */
  private Ledger ledgerWithAcknowledgedProxy() {
    Ledger ledger = ledgerWithBoundProxy();
    ledger.onAcknowledgement(PROXY, FIRST_ACK);
    endIteration(ledger);
    return ledger;
  }

  private static CatchUp catchUp(Ledger ledger) {
    return ledger.onProxyJoined(PROXY, false).orElseThrow();
  }

  private static void assertProxyNeedsCompleteTable(Ledger ledger) {
    assertEquals(Optional.empty(), ledger.onProxyJoined(PROXY, false));
  }

  @Test
  void proxyThatAcknowledgedItsTableHasNoMissingEntries() {
    ledgerWithAcknowledgedProxy();
    CatchUp catchUp = catchUp(recover());
    assertEquals(0, catchUp.entryCount());
    assertEquals(0, catchUp.table());
  }

  @Test
  void proxyThatHasNotAcknowledgedNeedsTheCompleteTable() {
    ledgerWithBoundProxy();
    assertProxyNeedsCompleteTable(recover());
    assertEquals(
        Optional.empty(), recover().onProxyJoined(UNKNOWN_PROXY, false), "it was never bound");
  }

  /** The report of a proxy that it has no table takes precedence over the stored data. */
  @Test
  void freshProxyNeedsTheCompleteTableDespiteAStoredAcknowledgement() {
    ledgerWithAcknowledgedProxy();
    Ledger restarted = recover();
    assertEquals(Optional.empty(), restarted.onProxyJoined(PROXY, true));
    endIteration(restarted);
    assertProxyNeedsCompleteTable(recover());
  }

  @Test
  void catchUpContainsTheChangesSinceTheAcknowledgement() {
    Ledger ledger = ledgerWithAcknowledgedProxy();
    ledger.setWeight(0, "b", 0.7);
    ledger.setEjected("a", true, nowUs);
    ledger.setAdmission(0, 1, new AdmissionLevel(1, 1));
    endIteration(ledger);
    CatchUp catchUp = catchUp(recover());
    assertEquals(Map.of("b", 0.7), catchUp.weights());
    assertEquals(Map.of(1, new AdmissionLevel(1, 1)), catchUp.admissionLevels());
    assertEquals(Map.of("a", true), catchUp.ejections());
    ledger.requestAck(12);
    ledger.onMessageSent(PROXY);
    endIteration(ledger);
    ledger.onAcknowledgement(PROXY, 12);
    endIteration(ledger);
    catchUp = catchUp(recover());
    assertEquals(0, catchUp.entryCount());
    assertEquals(Map.of("a", true, "b", false), catchUp.notifiedEjections());
  }

  /**
   * Acknowledgements of requests of an earlier process or on another stream must be ignored: they
   * don't show which entries the proxy has.
   */
  @Test
  void acknowledgementIsAcceptedOnTheStreamOfItsRequestOnly() {
    Ledger ledger = ledgerWithBoundProxy();
    assertProxyNeedsCompleteTable(ledger);
    ledger.onAcknowledgement(PROXY, FIRST_ACK);
    endIteration(ledger);
    assertProxyNeedsCompleteTable(recover());
    assertEquals(FIRST_ACK, recover().lastAckNumber(), "the next request has another number");
  }

  /**
   * A proxy is told of an ejection, the server is removed and discarded, and starts again under its
   * name while the proxy is away. Guards against a rejoining proxy that gets the server's weight
   * without its reinstatement, and excludes it permanently.
   */
  @Test
  void catchUpReinstatesAServerThatReturnsAfterItsEjectionWasDiscarded() {
    Ledger ledger = ledgerWithAcknowledgedProxy();
    ledger.setEjected("a", true, nowUs);
    ledger.setWeight(0, "a", 0);
    ledger.requestAck(12);
    ledger.onMessageSent(PROXY);
    endIteration(ledger);
    ledger.onAcknowledgement(PROXY, 12);
    ledger.discardServer("a");
    endIteration(ledger);
    ledger.onProxyLeft(PROXY);
    ledger.onStaleEjectionRisk("a", nowUs);
    ledger.setWeight(0, "a", 0.2);
    endIteration(ledger);
    for (Ledger current : List.of(ledger, recover())) {
      CatchUp catchUp = catchUp(current);
      assertEquals(Map.of("a", 0.2), catchUp.weights());
      assertEquals(Map.of("a", false), catchUp.ejections());
    }
  }

  @Test
  void aStaleEjectionRiskDoesNotEndAnEjectionOfThisLedger() {
    Ledger ledger = ledgerWithAcknowledgedProxy();
    ledger.setEjected("a", true, nowUs);
    ledger.onStaleEjectionRisk("a", nowUs);
    assertEquals(Set.of("a"), ledger.ejectedServers());
  }

  @Test
  void startRemovesServersThatAreNotOnTheList() {
    ledgerWithAcknowledgedProxy();
    Ledger restarted = recover();
    restarted.setEjected("b", true, nowUs);
    endIteration(restarted);
    restarted = recover();
    restarted.onListRecovered(List.of(server("b", Lifecycle.READY)), nowUs);
    CatchUp catchUp = catchUp(restarted);
    assertEquals(Map.of("a", 0.0), catchUp.weights());
    assertEquals(Map.of("b", false), catchUp.ejections(), "b is reinstated");
    restarted.onListRecovered(List.of(server("b", Lifecycle.DRAINING)), nowUs);
    assertEquals(Set.of("b"), restarted.weights(0).keySet());
  }

  /** The next start must not recover a server that is not on a complete list. */
  @Test
  void completeListRemovesAllOtherServers() {
    Ledger ledger = ledgerWithAcknowledgedProxy();
    ledger.onEndpointList(8, true, List.of(server("b", Lifecycle.READY)));
    endIteration(ledger);
    assertEquals(Set.of("b"), recover().servers().keySet());
    assertEquals(8, recover().generation());
  }

  /** The epoch, the iteration and the acknowledgement number must not decrease in any case. */
  @Test
  void untrustedTablesAreNotLoaded() {
    ledgerWithAcknowledgedProxy();
    assertEquals(RecoveryTrust.FULL, recover().trust());
    Map<RecoveryTrust, Ledger> untrusted =
        Map.of(
            RecoveryTrust.RESTORED_COPY,
            recover(RecoveryTrust.RESTORED_COPY, CONFIGURED_NAMES, nowUs, false),
            RecoveryTrust.ABANDONED,
            recover(RecoveryTrust.ABANDONED, CONFIGURED_NAMES, nowUs, false),
            RecoveryTrust.OTHER_SETTINGS,
            recover(RecoveryTrust.FULL, "n0 order,lookup north", nowUs, false),
            RecoveryTrust.STALE,
            recover(RecoveryTrust.FULL, CONFIGURED_NAMES, nowUs + HOUR_US + 1, false),
            RecoveryTrust.CLOCK_SKEW,
            recover(RecoveryTrust.FULL, CONFIGURED_NAMES, nowUs - HOUR_US, false));
    untrusted.forEach(
        (trust, ledger) -> {
          assertEquals(trust, ledger.trust());
          assertEquals(2, ledger.epoch());
          assertEquals(FIRST_ACK, ledger.lastAckNumber());
          assertTrue(ledger.iteration() > 0);
          assertEquals(Set.of(), ledger.tables());
          assertProxyNeedsCompleteTable(ledger);
        });
  }

  @Test
  void ledgerOfAnEmptyStoreHasTrustEmpty() {
    RecoveryConditions conditions =
        new RecoveryConditions(RecoveryTrust.FULL, CONFIGURED_NAMES, nowUs, HOUR_US, false);
    assertEquals(RecoveryTrust.EMPTY, LedgerRecovery.recover(Map.of(), conditions).trust());
  }

  @Test
  void proxiesNeedCompleteTablesIfThereAreOtherAssigners() {
    ledgerWithAcknowledgedProxy();
    Ledger shared = recover(RecoveryTrust.FULL, CONFIGURED_NAMES, nowUs, true);
    assertEquals(RecoveryTrust.SHARED_FLEET, shared.trust());
    assertProxyNeedsCompleteTable(shared);
    assertEquals(Set.of("a", "b"), shared.weights(0).keySet());
  }

  @Test
  void unreadableStoreIsDeletedExceptForItsHeader() {
    ledgerWithAcknowledgedProxy();
    store.put("t/0/l/c", new byte[] {1});
    assertEquals(RecoveryTrust.UNREADABLE, recover().trust());
    Ledger unreadable = recover();
    endIteration(unreadable);
    assertEquals(Set.of("m"), store.keySet());
  }

  @Test
  void unsafeRetryModesAreLimited() {
    Ledger ledger = recover();
    ledger.setAdmission(0, 0, new AdmissionLevel(1, 3));
    ledger.setAdmission(0, 1, new AdmissionLevel(1, 3));
    endIteration(ledger);
    assertEquals(
        Map.of(0, new AdmissionLevel(1, 3), 1, new AdmissionLevel(1, 1)),
        recover().admissionLevels(0, List.of(Idempotency.IDEMPOTENT, Idempotency.NOT_IDEMPOTENT)));
  }

  @Test
  void removedServersArePrunedAndADisconnectedProxyNeedsTheCompleteTable() {
    Ledger ledger = ledgerWithAcknowledgedProxy();
    for (int k = 0; k < 5000; k++) {
      ledger.onEndpointList(8 + k, false, List.of(server("s" + k, Lifecycle.READY)));
      ledger.setWeight(0, "s" + k, 1);
      endIteration(ledger);
      ledger.setEjected("s" + k, true, nowUs);
      ledger.setWeight(0, "s" + k, 0);
      endIteration(ledger);
      ledger.discardServer("s" + k);
    }
    endIteration(ledger);
    assertTrue(store.size() < 150, store.size() + " keys");
    assertProxyNeedsCompleteTable(recover());
  }
}
