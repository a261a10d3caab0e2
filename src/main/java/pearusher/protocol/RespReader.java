package pearusher.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Reads the RESP2 arrays of bulk strings of one connection from bytes as they arrive. Thread-safe;
 * it grows with the bytes received of an unfinished message, never with a length that was merely
 * announced.
 */
public final class RespReader implements AutoCloseable {
  /** Maximum size of a message in bytes, its headers included. */
  public static final int MAX_MESSAGE_BYTES = 1 << 20;

  /**
   * Unfinished bytes that all readers of this process may hold together. A byte takes two bytes of
   * memory while a buffer grows.
   */
  private static final long MAX_UNFINISHED_BYTES =
      Math.min(8L << 20, Math.max(2 * MAX_MESSAGE_BYTES, Runtime.getRuntime().maxMemory() / 8));

  /** Unfinished bytes granted to every reader, even beyond the common limit: ten proxy messages. */
  private static final int GUARANTEED_BYTES = 4 << 10;

  /** A larger buffer is replaced once its content was used. */
  private static final int MAX_RETAINED_BUFFER_BYTES = 1 << 10;

  private static final int INITIAL_BUFFER_BYTES = 64;
  private static final int MAX_HEADER_BYTES = 16;
  private static final byte[] LINE_END = {'\r', '\n'};

  /** Marks that no header announced a length yet. */
  private static final int UNKNOWN = -1;

  private static final AtomicLong UNFINISHED_BYTES = new AtomicLong();

  private ByteArrayOutputStream buffer = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
  private final List<String> strings = new ArrayList<>();
  private int remainingStrings = UNKNOWN;
  private int stringLength = UNKNOWN;

  /** Bytes read of the line end that follows the current string. */
  private int lineEndBytes;

  private int messageBytes;

  /** This reader's part of {@link #UNFINISHED_BYTES}. */
  private int accountedBytes;

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

  /** Sets the maximum size of a message in bytes, its headers included. */
  public synchronized void setMaxMessageBytes(int bytes) {
    maxMessageBytes = bytes;
  }

  /**
   * Reads the next complete message. A closed reader discards all input.
   *
   * @param source received bytes; what the message does not need is left in it
   * @return the strings of the message, or null if all bytes were consumed before its end
   * @throws RespException if the bytes are malformed or exceed a limit; the reader is unusable then
   */
  public synchronized List<String> next(ByteBuffer source) throws RespException {
    if (closed) {
      source.position(source.limit());
    }
    while (source.hasRemaining()) {
      boolean complete = stringLength == UNKNOWN ? readHeader(source) : readString(source);
      if (!complete) {
        break;
      }
      if (remainingStrings == 0) {
        return takeMessage();
      }
    }
    account(messageBytes);
    return null;
  }

  /** Returns whether a message has begun and is incomplete. */
  public synchronized boolean isMidMessage() {
    return messageBytes > 0;
  }

  private List<String> takeMessage() throws RespException {
    List<String> message = List.copyOf(strings);
    strings.clear();
    remainingStrings = UNKNOWN;
    messageBytes = 0;
    account(0);
    return message;
  }

  /** Reads a header up to its line end; returns false if the bytes ended before. */
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
        throw malformed("a header that doesn't end");
      }
    }
    return false;
  }

  private void parseHeader(String header) throws RespException {
    boolean isArray = remainingStrings == UNKNOWN;
    char prefix = isArray ? RespWriter.ARRAY_PREFIX : RespWriter.BULK_STRING_PREFIX;
    int length = parseLength(header, prefix);
    if (length < 0 || (length == 0 && isArray)) {
      throw malformed("'" + prefix + "' and a length expected");
    }
    if (length > maxMessageBytes) {
      throw tooLong("a length of " + length);
    }
    if (isArray) {
      remainingStrings = length;
    } else {
      stringLength = length;
    }
  }

  private static int parseLength(String header, char prefix) {
    if (header.length() <= 2 || header.charAt(0) != prefix || !header.endsWith("\r")) {
      return UNKNOWN;
    }
    try {
      return Integer.parseInt(header.substring(1, header.length() - 1));
    } catch (NumberFormatException e) {
      return UNKNOWN;
    }
  }

  /** Reads a string and its line end; returns false if the bytes ended before. */
  private boolean readString(ByteBuffer source) throws RespException {
    int missing = stringLength + LINE_END.length - buffer.size() - lineEndBytes;
    int available = Math.min(source.remaining(), missing);
    for (int i = 0; i < available; i++) {
      byte next = source.get();
      if (buffer.size() < stringLength) {
        buffer.write(next);
      } else if (next != LINE_END[lineEndBytes++]) {
        throw malformed("no line end after a string");
      }
    }
    addMessageBytes(available);
    if (lineEndBytes < LINE_END.length) {
      return false;
    }
    strings.add(buffer.toString(StandardCharsets.UTF_8));
    remainingStrings--;
    stringLength = UNKNOWN;
    lineEndBytes = 0;
    clearBuffer();
    return true;
  }

  /** Clears the buffer; a large one is replaced, or each connection would retain its longest. */
  private void clearBuffer() {
    if (buffer.size() > MAX_RETAINED_BUFFER_BYTES) {
      buffer = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
    }
    buffer.reset();
  }

  private void addMessageBytes(int count) throws RespException {
    messageBytes += count;
    if (messageBytes > maxMessageBytes) {
      throw tooLong("a message of over " + maxMessageBytes + " bytes");
    }
  }

  /** Updates this reader's part of the unfinished bytes of the process. */
  private void account(int bytes) throws RespException {
    boolean overCommonLimit =
        UNFINISHED_BYTES.addAndGet(bytes - accountedBytes) > MAX_UNFINISHED_BYTES;
    boolean grew = bytes > accountedBytes;
    accountedBytes = bytes;
    if (overCommonLimit && grew && bytes > GUARANTEED_BYTES) {
      throw tooLong("too many unfinished messages at once");
    }
  }

  private static RespException malformed(String detail) {
    return new RespException(RespException.Kind.MALFORMED, "not RESP: " + detail);
  }

  private static RespException tooLong(String detail) {
    return new RespException(RespException.Kind.TOO_LONG, detail);
  }

  /** Releases this reader's part of the unfinished bytes of the process. */
  @Override
  public synchronized void close() {
    closed = true;
    UNFINISHED_BYTES.addAndGet(-accountedBytes);
    accountedBytes = 0;
  }
}
