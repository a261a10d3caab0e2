package pearusher.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pearusher.policy.Lifecycle;

/** Orders wait for the disk, in order, and not for ever; and the list that a start begins with. */
class OutboxTest {
  private final List<String> out = new ArrayList<>();
  private final Outbox<String> box = new Outbox<>(out::add, 1000);

  @Test
  void nothingGoesBeforeItIsDurable() {
    long first = box.offer(List.of("a", "b"), 0);
    long second = box.offer(List.of("c"), 10);
    assertEquals(List.of(), out);
    box.release(first);
    assertEquals(List.of("a", "b"), out);
    box.release(first);
    box.release(second);
    assertEquals(List.of("a", "b", "c"), out);
    assertEquals(0, box.size());
  }

  @Test
  void whatWaitsTooLongGoesWithoutTheDiskAndAllAfterIt() {
    box.offer(List.of("a"), 0);
    box.offer(List.of("b"), 900);
    assertFalse(box.isOverdue(1000));
    assertTrue(box.isOverdue(1001));
    box.abandon();
    assertEquals(List.of("a", "b"), out);
    assertEquals(0, box.offer(List.of("c"), 2000));
    assertEquals(List.of("a", "b", "c"), out);
    box.release(2);
    assertEquals(3, out.size());
    assertFalse(box.isOverdue(100_000));
  }

  private static ListedServer server(String name, Lifecycle state, long startedUs) {
    return new ListedServer(name, null, 0, 0, 0, state, 1, startedUs);
  }

  private static Ledger ledger(long generation, ListedServer... servers) {
    java.util.Map<String, byte[]> store = new java.util.HashMap<>();
    Ledger first = Ledger.of(store, RecoveryTrust.FULL, "n", 5, 1000, false);
    first.onEndpointList(generation, false, List.of(servers));
    pearusher.store.WriteBatch.ofChanges(first.endIteration(5)).applyTo(store);
    return Ledger.of(store, RecoveryTrust.FULL, "n", 6, 1000, false);
  }

  private static RecoveredServerList merge(
      long given, ListedServer said, long stored, ListedServer kept) {
    return RecoveredServerList.merge(
        new RecoveredServerList(given, List.of(said)), ledger(stored, kept));
  }

  /** A server that drains or is gone is not revived, whatever the store says. */
  @Test
  void theNewerListCountsAndNobodyIsRevivedByAnOlderOne() {
    ListedServer ready = server("a", Lifecycle.READY, 0);
    ListedServer draining = server("a", Lifecycle.DRAINING, 0);
    ListedServer gone = server("a", Lifecycle.REMOVED, 0);
    ListedServer restarted = server("a", Lifecycle.READY, 9);
    assertEquals(new RecoveredServerList(8, List.of(draining)), merge(7, ready, 8, draining));
    assertEquals(new RecoveredServerList(0, List.of(draining)), merge(7, draining, 8, ready));
    assertEquals(new RecoveredServerList(0, List.of(gone)), merge(9, ready, 8, gone));
    assertEquals(new RecoveredServerList(9, List.of(restarted)), merge(9, restarted, 8, draining));
    assertEquals(new RecoveredServerList(8, List.of(ready)), merge(7, ready, 8, ready));
    RecoveredServerList given = new RecoveredServerList(3, List.of(ready));
    assertEquals(
        given,
        RecoveredServerList.merge(
            given, Ledger.of(java.util.Map.of(), RecoveryTrust.FULL, "n", 5, 9, false)));
  }
}
