package pearusher.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Incremental reader of the RESP2 arrays of bulk strings on one connection. Thread-safe. Its memory
 * use grows with the strings and bytes received of an unfinished message, never with an announced
 * length; {@link UnfinishedMessageHeap} bounds the memory of all readers together.
 */
public final class RespReader implements AutoCloseable {
  /** Maximum size of a message in bytes, including headers. */
  public static final int MAX_MESSAGE_BYTES = 1 << 20;

  /**
   * Maximum size of a buffer that is reused; a larger one is replaced after its string was read.
   */
  private static final int MAX_RETAINED_BUFFER_BYTES = 1 << 10;

  /** Maximum number of strings for which a list is reused; a larger one is replaced. */
  private static final int MAX_RETAINED_STRINGS = 64;

  /** Heap bytes of the buffer per byte in it: the buffer doubles its size when it is full. */
  private static final int HEAP_BYTES_PER_BUFFERED_BYTE = 2;

  private static final int INITIAL_BUFFER_BYTES = 64;
  private static final int MAX_HEADER_BYTES = 16;
  private static final byte[] LINE_END = {'\r', '\n'};

  /** Marks a length that no header has announced yet. */
  private static final int UNKNOWN_LENGTH = -1;

  private ByteArrayOutputStream buffer = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
  private List<String> strings = new ArrayList<>();
  private int remainingStrings = UNKNOWN_LENGTH;
  private int stringLength = UNKNOWN_LENGTH;

  /** Number of bytes read of the line end after the current string. */
  private int lineEndBytesRead;

  private int messageBytes;

  /** Heap that {@link #strings} occupies, in bytes. */
  private long stringsHeapBytes;

  private final UnfinishedMessageHeap.Share heapShare =
      UnfinishedMessageHeap.OF_THIS_PROCESS.newShare();

  private int maxMessageBytes;
  private boolean closed;

  /**
   * Creates a reader.
   *
   * @param maxMessageBytes the maximum size of a message until {@link #setMaxMessageBytes} is
   *     called
   */
  public RespReader(int maxMessageBytes) {
    this.maxMessageBytes = maxMessageBytes;
  }

  /** Sets the maximum size of a message in bytes, including headers. */
  public synchronized void setMaxMessageBytes(int bytes) {
    maxMessageBytes = bytes;
  }

  /**
   * Reads the next complete message. A closed reader discards all input.
   *
   * @param source the received bytes; bytes after the message remain in the buffer
   * @return the strings of the message, or null if the message is incomplete
   * @throws RespException if the bytes are malformed or exceed a limit; the reader is closed then
   */
  public synchronized List<String> next(ByteBuffer source) throws RespException {
    if (closed) {
      source.position(source.limit());
      return null;
    }
    try {
      return read(source);
    } catch (RespException e) {
      // The connection may be closed much later, while others take its share of the heap.
      close();
      throw e;
    }
  }

  private List<String> read(ByteBuffer source) throws RespException {
    while (source.hasRemaining()) {
      boolean complete = stringLength == UNKNOWN_LENGTH ? readHeader(source) : readString(source);
      if (!complete) {
        break;
      }
      if (remainingStrings == 0) {
        return completeMessage();
      }
    }
    accountUnfinishedMessage();
    return null;
  }

  /** Returns whether some but not all bytes of a message were received. */
  public synchronized boolean isMidMessage() {
    return messageBytes > 0;
  }

  /**
   * Updates the heap that is accounted to this reader. A complete message remains accounted until
   * the next call of {@link #next} returns null, because the caller processes it until then.
   */
  private void accountUnfinishedMessage() throws RespException {
    long bufferHeapBytes = (long) HEAP_BYTES_PER_BUFFERED_BYTE * buffer.size();
    if (!heapShare.resize(stringsHeapBytes + bufferHeapBytes)) {
      throw tooLong("unfinished messages of all connections exceed " + heapShare.describeLimit());
    }
  }

  private List<String> completeMessage() {
    List<String> message = List.copyOf(strings);
    discardStrings();
    remainingStrings = UNKNOWN_LENGTH;
    messageBytes = 0;
    return message;
  }

  /** Reads a header up to its line end; returns false if it is incomplete. */
  private boolean readHeader(ByteBuffer source) throws RespException {
    while (source.hasRemaining()) {
      byte next = source.get();
      addMessageBytes(1);
      if (next == '\n') {
        parseHeader(buffer.toString(StandardCharsets.ISO_8859_1));
        clearBuffer();
        return true;
      }
      buffer.write(next);
      if (buffer.size() > MAX_HEADER_BYTES) {
        throw malformed("header exceeds " + MAX_HEADER_BYTES + " bytes");
      }
    }
    return false;
  }

  private void parseHeader(String header) throws RespException {
    boolean isArray = remainingStrings == UNKNOWN_LENGTH;
    char prefix = isArray ? RespWriter.ARRAY_PREFIX : RespWriter.BULK_STRING_PREFIX;
    int length = parseLength(header, prefix);
    if (length < 0 || (length == 0 && isArray)) {
      throw malformed("expected '" + prefix + "' and a length of at least " + (isArray ? 1 : 0));
    }
    if (length > maxMessageBytes) {
      throw tooLong("announced length " + length + " exceeds " + maxMessageBytes + " bytes");
    }
    if (isArray) {
      remainingStrings = length;
    } else {
      stringLength = length;
    }
  }

  private static int parseLength(String header, char prefix) {
    if (header.length() <= 2 || header.charAt(0) != prefix || !header.endsWith("\r")) {
      return UNKNOWN_LENGTH;
    }
    try {
      return Integer.parseInt(header.substring(1, header.length() - 1));
    } catch (NumberFormatException e) {
      return UNKNOWN_LENGTH;
    }
  }

  /** Reads a string and its line end; returns false if they are incomplete. */
  private boolean readString(ByteBuffer source) throws RespException {
    int missing = stringLength + LINE_END.length - buffer.size() - lineEndBytesRead;
    int available = Math.min(source.remaining(), missing);
    for (int i = 0; i < available; i++) {
      byte next = source.get();
      if (buffer.size() < stringLength) {
        buffer.write(next);
      } else if (next != LINE_END[lineEndBytesRead++]) {
        throw malformed("expected a line end after a string of " + stringLength + " bytes");
      }
    }
    addMessageBytes(available);
    if (lineEndBytesRead < LINE_END.length) {
      return false;
    }
    addString();
    remainingStrings--;
    stringLength = UNKNOWN_LENGTH;
    lineEndBytesRead = 0;
    clearBuffer();
    return true;
  }

  private void addString() {
    String string = buffer.toString(StandardCharsets.UTF_8);
    strings.add(string);
    stringsHeapBytes += UnfinishedMessageHeap.bytesOfString(string, stringLength);
  }

  /** Discards the strings, and the list if it has grown large. */
  private void discardStrings() {
    if (strings.size() > MAX_RETAINED_STRINGS) {
      strings = new ArrayList<>();
    }
    strings.clear();
    stringsHeapBytes = 0;
  }

  /**
   * Clears the buffer. Replaces a large buffer; otherwise each connection would retain memory for
   * its longest string.
   */
  private void clearBuffer() {
    if (buffer.size() > MAX_RETAINED_BUFFER_BYTES) {
      buffer = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
    }
    buffer.reset();
  }

  private void addMessageBytes(int count) throws RespException {
    messageBytes += count;
    if (messageBytes > maxMessageBytes) {
      throw tooLong("message exceeds " + maxMessageBytes + " bytes");
    }
  }

  private static RespException malformed(String detail) {
    return new RespException(RespException.Kind.MALFORMED, "not RESP: " + detail);
  }

  private static RespException tooLong(String detail) {
    return new RespException(RespException.Kind.TOO_LONG, detail);
  }

  /** Discards an unfinished message and ends the accounting of its heap. */
  @Override
  public synchronized void close() {
    closed = true;
    discardStrings();
    buffer = new ByteArrayOutputStream(0);
    heapShare.release();
  }
}
