package pearusher.protocol;

/**
 * What a list of servers may hold, derived from the heap: a list beyond it is refused while the
 * last good one stays in force, where the virtual machine would end for want of memory.
 *
 * @param maxListed how many servers of zones in the settings one list may name
 * @param maxTextLength the most characters of one text in a list, needed or passed over
 * @param heapBytes the heap that both are derived from
 */
public record EndpointListLimits(int maxListed, int maxTextLength, long heapBytes) {
  /** The most characters of a server's id. */
  static final int MAX_ID_LENGTH = 255;

  /**
   * Bytes of heap that one listed server keeps, with an id of 255 characters, in two zones and with
   * eight proxies bound: in the directory, the module and the tables. Measured; docs/design.md,
   * "Limits", has the figures.
   */
  static final int BYTES_PER_SERVER = 1820;

  /** A list may take one of so many parts of the heap, and half of that more what it replaces. */
  static final int PARTS_OF_HEAP = 2;

  /**
   * A text is held twice while it is read, at two bytes a character: this leaves it a 64th of the
   * heap.
   */
  private static final int HEAP_PER_TEXT_CHARACTER = 256;

  /** The limits for a heap of that size. */
  static EndpointListLimits of(long heapBytes) {
    long servers = heapBytes / PARTS_OF_HEAP / BYTES_PER_SERVER;
    long text = heapBytes / HEAP_PER_TEXT_CHARACTER;
    return new EndpointListLimits(
        (int) Math.min(Integer.MAX_VALUE / 2, servers),
        (int) Math.min(Integer.MAX_VALUE / 2, text),
        heapBytes);
  }

  /** The limits for the heap of this process. */
  public static EndpointListLimits ofThisProcess() {
    return of(Runtime.getRuntime().maxMemory());
  }

  /**
   * The servers that may be known at once: those that left are kept until the module forgets them.
   */
  public int maxKnown() {
    return maxListed + maxListed / 2;
  }

  /** The limit in words, for what was refused. */
  String describeMaxListed() {
    return over(maxListed + " servers");
  }

  /** The limit on all that are known, in words. */
  public String describeMaxKnown() {
    return over(maxKnown() + " servers");
  }

  private String over(String what) {
    return "over "
        + what
        + ": the heap of "
        + Math.round(heapBytes / 1048576.0)
        + " MB holds no more";
  }
}
