package pearusher.protocol;

/**
 * Limits on an endpoint list, derived from the heap size. A list that exceeds them is rejected and
 * the last valid list stays in force; otherwise the process would run out of memory.
 *
 * @param maxListed the maximum number of servers in one list; servers of unknown zones do not count
 * @param maxTextLength the maximum length of one text in a list, decoded or ignored, in characters
 * @param heapBytes the maximum heap size from which the other limits are derived, in bytes
 */
public record EndpointListLimits(int maxListed, int maxTextLength, long heapBytes) {
  /** Maximum length of a server id in characters. */
  static final int MAX_ID_LENGTH = 255;

  /**
   * Heap that one listed server occupies in the whole process, for an id of maximum length, two
   * zones and bindings to eight proxies. See docs/design.md, "Limits".
   */
  static final int HEAP_BYTES_PER_SERVER = 1820;

  /**
   * Divisor of the heap size that gives the share of one list. The list that it replaces may occupy
   * half as much in addition.
   */
  static final int HEAP_DIVISOR = 2;

  /**
   * The parser buffers a text twice at two bytes per character, so one text uses at most a 64th of
   * the heap.
   */
  private static final int HEAP_BYTES_PER_TEXT_CHARACTER = 256;

  /** Ensures that {@link #maxKnown} fits in an int. */
  private static final int MAX_LIMIT = Integer.MAX_VALUE / 2;

  private static final double BYTES_PER_MEGABYTE = 1 << 20;

  /** Returns the limits for a maximum heap size in bytes. */
  static EndpointListLimits of(long heapBytes) {
    long servers = heapBytes / HEAP_DIVISOR / HEAP_BYTES_PER_SERVER;
    long textLength = heapBytes / HEAP_BYTES_PER_TEXT_CHARACTER;
    return new EndpointListLimits(
        (int) Math.min(MAX_LIMIT, servers), (int) Math.min(MAX_LIMIT, textLength), heapBytes);
  }

  /** Returns the limits for the maximum heap size of this process. */
  public static EndpointListLimits ofThisProcess() {
    return of(Runtime.getRuntime().maxMemory());
  }

  /**
   * Returns the maximum number of servers that the process may track at once: one and a half times
   * {@link #maxListed}. It includes removed servers that the policy has not discarded yet.
   */
  public int maxKnown() {
    return maxListed + maxListed / 2;
  }

  /** Returns the text about the limit on one list, for a log line on its rejection. */
  String describeMaxListed() {
    return describe(maxListed);
  }

  /** Returns the text about the limit on all known servers, for a log line on a rejection. */
  public String describeMaxKnown() {
    return describe(maxKnown());
  }

  private String describe(int maxServers) {
    long megabytes = Math.round(heapBytes / BYTES_PER_MEGABYTE);
    return "over " + maxServers + " servers: the heap of " + megabytes + " MB holds no more";
  }
}
