package pearusher.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Limit on the heap of unfinished messages, and the size that is counted for their strings. */
class UnfinishedMessageHeapTest {
  private static final int STRINGS = 10_000;

  /** Guards against counting less than strings really occupy, which would exhaust the heap. */
  @ParameterizedTest
  @CsvSource({"x,2", "x,8", "x,9", "Ouessant ,3", "\u00eele,4", "a\u1e97,3"})
  void countedBytesCoverTheObjectsOfAString(String part, int count) {
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    String[] retained = new String[STRINGS];
    long before = threads.getCurrentThreadAllocatedBytes();
    for (int k = 0; k < STRINGS; k++) {
      // Allocates the objects of the string and nothing else.
      retained[k] = part.repeat(count);
    }
    long allocated = threads.getCurrentThreadAllocatedBytes() - before;
    String text = retained[STRINGS - 1];
    int encodedBytes = text.getBytes(StandardCharsets.UTF_8).length;
    long counted = STRINGS * UnfinishedMessageHeap.bytesOfString(text, encodedBytes);
    assertTrue(counted >= allocated, counted + " bytes counted, " + allocated + " allocated");
  }

  @Test
  void aMessageBeyondTheLimitIsRejectedUnlessItIsWithinItsGuaranteedSize() {
    UnfinishedMessageHeap heap = UnfinishedMessageHeap.ofMaxHeap(40L << 20);
    assertEquals(5L << 20, heap.limitBytes());
    UnfinishedMessageHeap.Share large = heap.newShare();
    assertTrue(large.resize(heap.limitBytes()));
    UnfinishedMessageHeap.Share small = heap.newShare();
    assertTrue(small.resize(UnfinishedMessageHeap.GUARANTEED_BYTES));
    assertFalse(small.resize(UnfinishedMessageHeap.GUARANTEED_BYTES + 1));
    assertTrue(large.resize(heap.limitBytes() - 1), "a message that shrinks is accepted");
    large.release();
    small.release();
    assertEquals(0, heap.totalBytes());
  }
}
