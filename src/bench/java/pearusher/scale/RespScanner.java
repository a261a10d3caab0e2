package pearusher.scale;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Cuts RESP2 arrays of bulk strings out of a connection's bytes without making strings of them: a
 * message is a view of the bytes, valid only while its receiver runs. Bytes of an unfinished
 * message are kept till the rest comes.
 */
final class RespScanner {
  private static final int MOST_WORDS = 64;

  /** A longer buffer is given back once it is empty. */
  private static final int KEPT_BYTES = 4 << 10;

  /** One message: words within a byte array. */
  static final class View {
    private byte[] bytes;
    private final int[] starts = new int[MOST_WORDS];
    private final int[] lengths = new int[MOST_WORDS];
    private int words;
    private int size;

    /** Bytes of the whole message, headers included. */
    int size() {
      return size;
    }

    int words() {
      return words;
    }

    byte[] bytes() {
      return bytes;
    }

    int start(int word) {
      return starts[word];
    }

    int length(int word) {
      return lengths[word];
    }

    String text(int word) {
      return new String(bytes, starts[word], lengths[word], StandardCharsets.US_ASCII);
    }

    boolean is(int word, byte[] text) {
      return lengths[word] == text.length
          && Arrays.equals(bytes, starts[word], starts[word] + lengths[word], text, 0, text.length);
    }

    /** The position of the value that follows a name, or -1. */
    int value(byte[] name) {
      for (int word = 1; word + 1 < words; word += 2) {
        if (is(word, name)) {
          return word + 1;
        }
      }
      return -1;
    }
  }

  private final View view = new View();
  private byte[] held = new byte[0];
  private int heldBytes;

  /** Takes all bytes of the buffer and hands over each whole message. */
  void take(ByteBuffer from, Consumer<View> to) {
    if (heldBytes == 0) {
      int used = scan(from.array(), from.arrayOffset() + from.position(), from.remaining(), to);
      from.position(from.position() + used);
    }
    if (!from.hasRemaining()) {
      return;
    }
    int more = from.remaining();
    if (held.length < heldBytes + more) {
      held = Arrays.copyOf(held, Math.max(2 * held.length, heldBytes + more));
    }
    from.get(held, heldBytes, more);
    heldBytes += more;
    int used = scan(held, 0, heldBytes, to);
    heldBytes -= used;
    if (heldBytes == 0 && held.length > KEPT_BYTES) {
      held = new byte[0];
    } else if (used > 0) {
      System.arraycopy(held, used, held, 0, heldBytes);
    }
  }

  /** Bytes used up by whole messages. */
  private int scan(byte[] bytes, int from, int length, Consumer<View> to) {
    int at = from;
    while (message(bytes, at, from + length)) {
      at += view.size;
      to.accept(view);
    }
    return at - from;
  }

  private int after;

  private boolean message(byte[] bytes, int from, int end) {
    int words = header(bytes, from, end, '*');
    if (words < 0) {
      return false;
    }
    if (words > MOST_WORDS) {
      throw new IllegalStateException("a message of " + words + " words");
    }
    view.bytes = bytes;
    view.words = words;
    for (int word = 0; word < words; word++) {
      int length = header(bytes, after, end, '$');
      if (length < 0 || after + length + 2 > end) {
        return false;
      }
      view.starts[word] = after;
      view.lengths[word] = length;
      after += length + 2;
    }
    view.size = after - from;
    return true;
  }

  /** The number of a header whose end is left in {@link #after}; -1 while it is not whole. */
  private int header(byte[] bytes, int from, int end, char kind) {
    if (from >= end) {
      return -1;
    }
    if (bytes[from] != kind) {
      throw new IllegalStateException("not RESP: '" + kind + "' expected");
    }
    int number = 0;
    for (int at = from + 1; at + 1 < end; at++) {
      if (bytes[at] == '\r') {
        after = at + 2;
        return number;
      }
      number = 10 * number + bytes[at] - '0';
    }
    return -1;
  }
}
