package pearusher.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * RESP2 arrays of bulk strings, to words and back. One reader serves one connection and takes bytes
 * as they come. It must never know what a word means, nor hold more than a message may have,
 * whatever was announced.
 */
public final class RespCodec {
  /** Most bytes of a message, its headers included. */
  public static final int MAX_MESSAGE_BYTES = 1 << 20;

  /**
   * Unfinished bytes that all connections may hold together, by the memory that there is (a byte of
   * them takes two while a buffer grows), of which each may hold a share for sure: ten messages of
   * a proxy.
   */
  private static final long MOST_UNFINISHED =
      Math.min(8L << 20, Math.max(2 * MAX_MESSAGE_BYTES, Runtime.getRuntime().maxMemory() / 8));

  private static final int SURE = 4 << 10;
  private static final int KEPT = 1 << 10;
  private static final AtomicLong UNFINISHED = new AtomicLong();
  private static final byte[] END = {'\r', '\n'};

  /** Not RESP, or over the limit. */
  public static final class Fault extends IOException {
    private static final long serialVersionUID = 1L;

    /** What is wrong with the bytes. */
    public enum Kind {
      MALFORMED,
      TOO_LONG
    }

    private final Kind kind;

    Fault(Kind kind, String text) {
      super(text);
      this.kind = kind;
    }

    public Kind kind() {
      return kind;
    }
  }

  /** Reads one connection's bytes. */
  public static final class Reader implements AutoCloseable {
    private ByteArrayOutputStream held = new ByteArrayOutputStream(64);
    private final List<String> words = new ArrayList<>();
    private int left = -1;
    private int length = -1;
    private int taken;
    private int counted;

    /** Of the line end that follows a bulk string. */
    private int tail;

    private boolean closed;
    private int most;

    /**
     * With the most bytes that a message may have until {@link #setMaxMessageBytes} says otherwise.
     */
    public Reader(int most) {
      this.most = most;
    }

    public synchronized void setMaxMessageBytes(int bytes) {
      most = bytes;
    }

    /** The next whole message, or null once the bytes are used up. */
    public synchronized List<String> next(ByteBuffer from) throws Fault {
      if (closed) {
        from.position(from.limit());
      }
      while (from.hasRemaining()) {
        boolean line = length < 0;
        if (line ? !line(from) : !bulk(from)) {
          break;
        }
        if (!line) {
          words.add(held.toString(StandardCharsets.UTF_8));
          left--;
          length = -1;
        } else {
          header(held.toString(StandardCharsets.ISO_8859_1));
        }
        // A long string's room is given back: every connection would else keep that of its longest.
        held = held.size() > KEPT ? new ByteArrayOutputStream(64) : held;
        held.reset();
        if (left == 0) {
          List<String> out = List.copyOf(words);
          words.clear();
          left = -1;
          taken = 0;
          count(0);
          return out;
        }
      }
      count(taken);
      return null;
    }

    /** A message has begun and is not whole. */
    public synchronized boolean isMidMessage() {
      return taken > 0;
    }

    private void count(int now) throws Fault {
      if (UNFINISHED.addAndGet(now - counted) > MOST_UNFINISHED && now > counted && now > SURE) {
        counted = now;
        throw new Fault(Fault.Kind.TOO_LONG, "too many unfinished messages at once");
      }
      counted = now;
    }

    private void take(int n) throws Fault {
      taken += n;
      if (taken > most) {
        throw new Fault(Fault.Kind.TOO_LONG, "a message of over " + most + " bytes");
      }
    }

    /** A header's text up to its line end. */
    private boolean line(ByteBuffer from) throws Fault {
      while (from.hasRemaining()) {
        byte b = from.get();
        take(1);
        if (b == '\n') {
          return true;
        }
        held.write(b);
        if (held.size() > 16) {
          throw new Fault(Fault.Kind.MALFORMED, "not RESP: a header that doesn't end");
        }
      }
      return false;
    }

    private void header(String text) throws Fault {
      char kind = left < 0 ? '*' : '$';
      int number = -1;
      if (text.length() > 2 && text.charAt(0) == kind && text.endsWith("\r")) {
        try {
          number = Integer.parseInt(text.substring(1, text.length() - 1));
        } catch (NumberFormatException e) {
          number = -1;
        }
      }
      if (number < 0 || (number == 0 && kind == '*')) {
        throw new Fault(Fault.Kind.MALFORMED, "not RESP: '" + kind + "' and a length expected");
      }
      if (number > most) {
        throw new Fault(Fault.Kind.TOO_LONG, "a length of " + number);
      }
      if (left < 0) {
        left = number;
      } else {
        length = number;
      }
    }

    /** A bulk string and its line end, which is checked and cut off. */
    private boolean bulk(ByteBuffer from) throws Fault {
      int n = Math.min(from.remaining(), length + 2 - held.size() - tail);
      for (int i = 0; i < n; i++) {
        byte b = from.get();
        if (held.size() < length) {
          held.write(b);
        } else if (b != END[tail++]) {
          throw new Fault(Fault.Kind.MALFORMED, "not RESP: no line end after a string");
        }
      }
      take(n);
      boolean whole = tail == 2;
      tail = whole ? 0 : tail;
      return whole;
    }

    /** Gives back what an ended connection held. */
    @Override
    public synchronized void close() {
      closed = true;
      UNFINISHED.addAndGet(-counted);
      counted = 0;
    }
  }

  private RespCodec() {}

  public static byte[] encode(List<String> words) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(256);
    header(out, '*', words.size());
    for (String word : words) {
      byte[] raw = word.getBytes(StandardCharsets.UTF_8);
      header(out, '$', raw.length);
      out.writeBytes(raw);
      out.writeBytes(END);
    }
    return out.toByteArray();
  }

  private static void header(ByteArrayOutputStream out, char kind, int number) {
    out.writeBytes((kind + Integer.toString(number)).getBytes(StandardCharsets.ISO_8859_1));
    out.writeBytes(END);
  }
}
