package pearusher.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.Test;
import pearusher.protocol.MessageEncoder;

/** Order and memory of the unsent messages of one connection. */
class SendQueueTest {
  private static final String PONG =
      new String(MessageEncoder.encodePong(), StandardCharsets.US_ASCII);

  /** Heap of an array of 14 bytes with its entry in a queue. */
  private static final int HEAP_BYTES_OF_SHORT_MESSAGE = 36;

  private final ArrayDeque<Callback> pendingWrites = new ArrayDeque<>();
  private final StringBuilder written = new StringBuilder();
  private final SendQueue queue = new SendQueue(endPoint(), cause -> {});

  /** Returns an endpoint whose writes stay pending until {@link #completeWrites}. */
  private EndPoint endPoint() {
    return (EndPoint)
        Proxy.newProxyInstance(
            SendQueueTest.class.getClassLoader(),
            new Class<?>[] {EndPoint.class},
            (self, method, arguments) -> {
              assertEquals("write", method.getName());
              pendingWrites.add((Callback) arguments[0]);
              for (ByteBuffer buffer : (ByteBuffer[]) arguments[1]) {
                written.append(StandardCharsets.US_ASCII.decode(buffer));
              }
              return null;
            });
  }

  private void completeWrites() {
    while (!pendingWrites.isEmpty()) {
      pendingWrites.poll().succeeded();
    }
  }

  private static byte[] message(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  private void startWrite() {
    assertEquals(SendQueue.NextStep.WRITE, queue.add(message("first,")));
    queue.iterate();
  }

  @Test
  void whatIsAddedDuringAWriteIsWrittenAfterIt() {
    startWrite();
    assertEquals(SendQueue.NextStep.NONE, queue.addPongs(100));
    assertEquals(SendQueue.NextStep.NONE, queue.add(message("second,")));
    assertEquals(SendQueue.NextStep.NONE, queue.add(message("third,")));
    assertEquals("first,", written.toString());
    completeWrites();
    assertEquals("first,second,third," + PONG.repeat(100), written.toString());
    assertEquals(SendQueue.NextStep.WRITE, queue.addPongs(1), "the write has ended");
  }

  /** Guards against a peer that exhausts the heap by pings whose pongs it does not read. */
  @Test
  void unreadPongsOccupyNoHeapAndEndTheConnectionAtTheLimit() {
    startWrite();
    int pongs = SendQueue.MAX_UNSENT_BYTES / PONG.length() - 10;
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    long before = threads.getCurrentThreadAllocatedBytes();
    for (int k = 0; k < pongs; k++) {
      queue.addPongs(1);
    }
    long allocated = threads.getCurrentThreadAllocatedBytes() - before;
    assertTrue(allocated < 16 << 10, allocated + " bytes allocated for " + pongs + " pongs");
    assertEquals(SendQueue.NextStep.CLOSE, queue.addPongs(10));
  }

  /** Guards against a limit on message bytes, of which short messages occupy a multiple. */
  @Test
  void shortMessagesAreCountedWithTheirOverhead() {
    startWrite();
    int added = 0;
    while (queue.add(message("fourteen bytes")) != SendQueue.NextStep.CLOSE) {
      added++;
    }
    long heapBytes = (long) added * HEAP_BYTES_OF_SHORT_MESSAGE;
    assertTrue(heapBytes <= SendQueue.MAX_UNSENT_BYTES, heapBytes + " bytes");
  }

  @Test
  void aClearedQueueDiscardsLaterMessages() {
    startWrite();
    queue.clear();
    for (int k = 0; k < 3; k++) {
      assertEquals(SendQueue.NextStep.NONE, queue.add(new byte[SendQueue.MAX_UNSENT_BYTES]));
    }
    completeWrites();
    assertEquals("first,", written.toString());
  }
}
