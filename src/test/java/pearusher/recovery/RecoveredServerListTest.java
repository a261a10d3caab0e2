package pearusher.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import pearusher.policy.Lifecycle;

/**
 * The initial endpoint list of a start. A list with a higher generation may contain outdated states
 * if the generations were reset, so it must not make draining or removed servers ready.
 */
class RecoveredServerListTest {
  private static ListedServer server(Lifecycle lifecycle, long startedUs) {
    return new ListedServer("a", null, 0, 0, 0, lifecycle, 1, startedUs);
  }

  private static Ledger recover(Map<String, byte[]> store, long nowUs) {
    return LedgerRecovery.recover(
        store, new RecoveryConditions(RecoveryTrust.FULL, "n", nowUs, 1000, false));
  }

  private static Ledger ledgerWithServer(long generation, ListedServer server) {
    Map<String, byte[]> store = new HashMap<>();
    Ledger ledger = recover(store, 5);
    ledger.onEndpointList(generation, false, List.of(server));
    ledger.endIteration(5).orElseThrow().forEach(store::put, store::remove);
    return recover(store, 6);
  }

  private static RecoveredServerList merge(
      long configuredGeneration,
      ListedServer configured,
      long storedGeneration,
      ListedServer stored) {
    return RecoveredServerList.merge(
        new RecoveredServerList(configuredGeneration, List.of(configured)),
        ledgerWithServer(storedGeneration, stored));
  }

  @Test
  void newerListReactivatesNoDrainingOrRemovedServer() {
    ListedServer ready = server(Lifecycle.READY, 0);
    ListedServer draining = server(Lifecycle.DRAINING, 0);
    ListedServer removed = server(Lifecycle.REMOVED, 0);
    ListedServer restarted = server(Lifecycle.READY, 9);
    assertEquals(new RecoveredServerList(8, List.of(draining)), merge(7, ready, 8, draining));
    assertEquals(new RecoveredServerList(0, List.of(draining)), merge(7, draining, 8, ready));
    assertEquals(new RecoveredServerList(0, List.of(removed)), merge(9, ready, 8, removed));
    assertEquals(new RecoveredServerList(9, List.of(restarted)), merge(9, restarted, 8, draining));
    assertEquals(new RecoveredServerList(8, List.of(ready)), merge(7, ready, 8, ready));
    RecoveredServerList configured = new RecoveredServerList(3, List.of(ready));
    assertEquals(configured, RecoveredServerList.merge(configured, recover(new HashMap<>(), 5)));
  }
}
