package pearusher.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Delays messages until they are durable, sends them in order, and limits the delay. */
class OutboxTest {
  private final List<String> sent = new ArrayList<>();
  private final Outbox<String> outbox = new Outbox<>(sent::add, 1000);

  @Test
  void messagesAreSentInOrderOnceTheyAreDurable() {
    long first = outbox.offer(List.of("a", "b"), 0);
    long second = outbox.offer(List.of("c"), 10);
    assertEquals(List.of(), sent);
    outbox.release(first);
    assertEquals(List.of("a", "b"), sent);
    outbox.release(first);
    outbox.release(second);
    assertEquals(List.of("a", "b", "c"), sent);
    assertEquals(0, outbox.size());
  }

  @Test
  void abandonedOutboxSendsPendingAndLaterMessagesImmediately() {
    outbox.offer(List.of("a"), 0);
    outbox.offer(List.of("b"), 900);
    assertFalse(outbox.isOverdue(1000));
    assertTrue(outbox.isOverdue(1001));
    outbox.abandon();
    assertEquals(List.of("a", "b"), sent);
    assertEquals(Outbox.SENT, outbox.offer(List.of("c"), 2000));
    assertEquals(List.of("a", "b", "c"), sent);
    outbox.release(2);
    assertEquals(3, sent.size());
    assertFalse(outbox.isOverdue(100_000));
  }
}
