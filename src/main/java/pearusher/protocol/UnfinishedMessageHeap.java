package pearusher.protocol;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limit on the heap that the unfinished messages of all connections occupy together. It counts the
 * objects on the heap instead of received bytes, because a string of one character occupies several
 * times the bytes in which it is received. Thread-safe. Its own size is constant; each connection
 * holds one {@link Share}.
 */
final class UnfinishedMessageHeap {
  /** Account of the unfinished messages that this process receives. */
  static final UnfinishedMessageHeap OF_THIS_PROCESS = ofMaxHeap(Runtime.getRuntime().maxMemory());

  /** Divisor of the heap size that gives the share of unfinished messages. */
  private static final int HEAP_DIVISOR = 8;

  /** Heap of the longest message in one string, whose buffer may have twice its size. */
  private static final long MIN_LIMIT_BYTES = 2L * RespReader.MAX_MESSAGE_BYTES;

  private static final long MAX_LIMIT_BYTES = 8L << 20;

  /**
   * Heap of one unfinished message that is accepted even beyond the limit: several messages of a
   * proxy.
   */
  static final int GUARANTEED_BYTES = 4 << 10;

  /** Heap of a string besides its characters: two objects, padding and a list entry. */
  private static final int STRING_OVERHEAD_BYTES = 64;

  private final long limitBytes;
  private final AtomicLong totalBytes = new AtomicLong();

  private UnfinishedMessageHeap(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Creates an account whose limit is derived from a maximum heap size in bytes. */
  static UnfinishedMessageHeap ofMaxHeap(long heapBytes) {
    long shareOfHeap = heapBytes / HEAP_DIVISOR;
    return new UnfinishedMessageHeap(
        Math.min(MAX_LIMIT_BYTES, Math.max(MIN_LIMIT_BYTES, shareOfHeap)));
  }

  /**
   * Returns the heap that a string occupies in a list, in bytes.
   *
   * @param string the decoded string
   * @param encodedBytes the number of bytes from which it was decoded
   */
  static long bytesOfString(String string, int encodedBytes) {
    boolean isAscii = string.length() == encodedBytes;
    int bytesPerCharacter = isAscii ? Byte.BYTES : Character.BYTES;
    return STRING_OVERHEAD_BYTES + (long) bytesPerCharacter * string.length();
  }

  /** Returns the limit on all unfinished messages together, in bytes. */
  long limitBytes() {
    return limitBytes;
  }

  /** Returns the heap that all unfinished messages occupy, in bytes. */
  long totalBytes() {
    return totalBytes.get();
  }

  /** Creates the share of a connection that has received nothing. */
  Share newShare() {
    return new Share();
  }

  /** Heap that the unfinished message of one connection occupies. One thread at a time uses it. */
  final class Share {
    private long bytes;

    private Share() {}

    /**
     * Sets the heap that the unfinished message occupies.
     *
     * @param newBytes the heap in bytes
     * @return false if the message grew beyond its guaranteed size while all messages exceed the
     *     limit
     */
    boolean resize(long newBytes) {
      boolean grew = newBytes > bytes;
      boolean exceedsLimit = totalBytes.addAndGet(newBytes - bytes) > limitBytes;
      bytes = newBytes;
      return !(grew && exceedsLimit && newBytes > GUARANTEED_BYTES);
    }

    /** Ends the accounting of this message. */
    void release() {
      totalBytes.addAndGet(-bytes);
      bytes = 0;
    }

    /** Returns the text about the limit, for the reason of a closed connection. */
    String describeLimit() {
      return limitBytes + " bytes of heap";
    }
  }
}
