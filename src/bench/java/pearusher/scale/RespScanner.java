package pearusher.scale;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalInt;
import java.util.function.Consumer;

/**
 * Parses the bytes of a connection as RESP2 arrays of bulk strings without creating strings. A
 * message is a view of the bytes, which is valid only while its consumer runs. The bytes of an
 * incomplete message are buffered until the rest arrives.
 */
final class RespScanner {
  private static final int MAX_FIELDS = 64;

  /** A larger buffer is released once it is empty. */
  private static final int RETAINED_BUFFER_BYTES = 4 << 10;

  /** A view of one message, whose fields are ranges of a byte array. */
  static final class View {
    private byte[] bytes;
    private final int[] starts = new int[MAX_FIELDS];
    private final int[] lengths = new int[MAX_FIELDS];
    private int fieldCount;
    private int sizeBytes;

    /** Returns the size of the message, including all headers. */
    int sizeBytes() {
      return sizeBytes;
    }

    int fieldCount() {
      return fieldCount;
    }

    byte[] bytes() {
      return bytes;
    }

    int start(int field) {
      return starts[field];
    }

    int length(int field) {
      return lengths[field];
    }

    String text(int field) {
      return new String(bytes, starts[field], lengths[field], StandardCharsets.US_ASCII);
    }

    boolean fieldEquals(int field, byte[] text) {
      return lengths[field] == text.length
          && Arrays.equals(
              bytes, starts[field], starts[field] + lengths[field], text, 0, text.length);
    }

    /**
     * Returns the index of the value that follows a field's name, or empty if there is no such
     * field.
     */
    OptionalInt find(byte[] name) {
      for (int field = 1; field + 1 < fieldCount; field += 2) {
        if (fieldEquals(field, name)) {
          return OptionalInt.of(field + 1);
        }
      }
      return OptionalInt.empty();
    }
  }

  private final View view = new View();
  private byte[] partialMessage = new byte[0];
  private int partialBytes;
  private int headerEnd;

  /** Consumes all bytes of the buffer and passes each complete message to the consumer. */
  void feed(ByteBuffer buffer, Consumer<View> consumer) {
    if (partialBytes == 0) {
      int consumedBytes =
          scan(
              buffer.array(),
              buffer.arrayOffset() + buffer.position(),
              buffer.remaining(),
              consumer);
      buffer.position(buffer.position() + consumedBytes);
    }
    if (!buffer.hasRemaining()) {
      return;
    }
    int addedBytes = buffer.remaining();
    if (partialMessage.length < partialBytes + addedBytes) {
      partialMessage =
          Arrays.copyOf(
              partialMessage, Math.max(2 * partialMessage.length, partialBytes + addedBytes));
    }
    buffer.get(partialMessage, partialBytes, addedBytes);
    partialBytes += addedBytes;
    int consumedBytes = scan(partialMessage, 0, partialBytes, consumer);
    partialBytes -= consumedBytes;
    if (partialBytes == 0 && partialMessage.length > RETAINED_BUFFER_BYTES) {
      partialMessage = new byte[0];
    } else if (consumedBytes > 0) {
      System.arraycopy(partialMessage, consumedBytes, partialMessage, 0, partialBytes);
    }
  }

  /** Returns the number of bytes consumed by complete messages. */
  private int scan(byte[] bytes, int from, int length, Consumer<View> consumer) {
    int position = from;
    while (parseMessage(bytes, position, from + length)) {
      position += view.sizeBytes;
      consumer.accept(view);
    }
    return position - from;
  }

  private boolean parseMessage(byte[] bytes, int from, int end) {
    int fieldCount = parseHeader(bytes, from, end, '*');
    if (fieldCount < 0) {
      return false;
    }
    if (fieldCount > MAX_FIELDS) {
      throw new IllegalStateException(
          "expected at most " + MAX_FIELDS + " fields in a message, got " + fieldCount);
    }
    view.bytes = bytes;
    view.fieldCount = fieldCount;
    for (int field = 0; field < fieldCount; field++) {
      int length = parseHeader(bytes, headerEnd, end, '$');
      if (length < 0 || headerEnd + length + 2 > end) {
        return false;
      }
      view.starts[field] = headerEnd;
      view.lengths[field] = length;
      headerEnd += length + 2;
    }
    view.sizeBytes = headerEnd - from;
    return true;
  }

  /**
   * Returns the number in a header and stores the position after the header in {@link #headerEnd}.
   * Returns -1 if the header is incomplete.
   */
  private int parseHeader(byte[] bytes, int from, int end, char kind) {
    if (from >= end) {
      return -1;
    }
    if (bytes[from] != kind) {
      throw new IllegalStateException(
          "malformed RESP: expected '" + kind + "', got byte " + bytes[from]);
    }
    int number = 0;
    for (int position = from + 1; position + 1 < end; position++) {
      if (bytes[position] == '\r') {
        headerEnd = position + 2;
        return number;
      }
      number = 10 * number + bytes[position] - '0';
    }
    return -1;
  }
}
