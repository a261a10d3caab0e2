package pearusher.protocol;

/**
 * Limits on a list of servers, derived from the heap: a longer list is rejected and the last valid
 * one stays in force, since the process would otherwise run out of memory.
 *
 * @param maxListed the maximum number of servers of one list, in zones of the settings
 * @param maxTextLength the maximum length of one text of a list, used or ignored, in characters
 * @param heapBytes the size of the heap that both are derived from
 */
public record EndpointListLimits(int maxListed, int maxTextLength, long heapBytes) {
  /** Maximum length of a server's id in characters. */
  static final int MAX_ID_LENGTH = 255;

  /**
   * Heap bytes of one listed server in all of the process, with an id of maximum length, in two
   * zones and with eight proxies bound. See docs/design.md, "Limits".
   */
  static final int BYTES_PER_SERVER = 1820;

  /** A list may take this fraction of the heap, and the list it replaces half as much again. */
  static final int HEAP_FRACTION = 2;

  /** A text is buffered twice while it is read, at two bytes a character: a 64th of the heap. */
  private static final int HEAP_BYTES_PER_TEXT_CHARACTER = 256;

  /** Leaves room for {@link #maxKnown} in an int. */
  private static final int MAX_LIMIT = Integer.MAX_VALUE / 2;

  private static final double BYTES_PER_MEGABYTE = 1 << 20;

  /** Returns the limits for a heap of a size. */
  static EndpointListLimits of(long heapBytes) {
    long servers = heapBytes / HEAP_FRACTION / BYTES_PER_SERVER;
    long textLength = heapBytes / HEAP_BYTES_PER_TEXT_CHARACTER;
    return new EndpointListLimits(
        (int) Math.min(MAX_LIMIT, servers), (int) Math.min(MAX_LIMIT, textLength), heapBytes);
  }

  /** Returns the limits for the heap of this process. */
  public static EndpointListLimits ofThisProcess() {
    return of(Runtime.getRuntime().maxMemory());
  }

  /**
   * Returns the maximum number of servers known at once; it includes removed servers that the
   * policy has not forgotten yet.
   */
  public int maxKnown() {
    return maxListed + maxListed / 2;
  }

  /** Describes the limit on one list, for the message of a rejection. */
  String describeMaxListed() {
    return describe(maxListed);
  }

  /** Describes the limit on all known servers, for the message of a rejection. */
  public String describeMaxKnown() {
    return describe(maxKnown());
  }

  private String describe(int maxServers) {
    long megabytes = Math.round(heapBytes / BYTES_PER_MEGABYTE);
    return "over " + maxServers + " servers: the heap of " + megabytes + " MB holds no more";
  }
}
