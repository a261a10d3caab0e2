package pearusher.store;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The bytes of the store's files, specified in docs/store.md. A file begins with a preamble, 36
 * bytes: magic (8), format (4), kind (4), store id (8), first sequence (8), CRC32C of these (4).
 * Then frames: length of the payload (4), type (1), sequence (8), confirmed (8), CRC32C of all else
 * (4), payload. All numbers big-endian.
 *
 * @param confirmed the highest sequence known to be synced when this frame was written
 */
record LogRecord(byte type, long sequence, long confirmed, byte[] payload) {
  static final byte BATCH = 1;
  static final byte ENTRY = 2;
  static final byte END = 3;
  static final byte CLOSE = 4;

  static final int FORMAT = 1;
  static final int LOG = 1;
  static final int CHECKPOINT = 2;

  static final int PREAMBLE = 36;
  static final int HEAD = 25;

  /** Guards the memory against a length that was flipped; no batch of a turn comes near it. */
  static final int MOST_PAYLOAD = 64 << 20;

  private static final long MAGIC = 0x5045415253544F52L;

  /** What a file says of itself. */
  record Preamble(int format, int kind, long store, long first) {
    byte[] encode() {
      ByteBuffer out = ByteBuffer.allocate(PREAMBLE);
      out.putLong(MAGIC).putInt(format).putInt(kind).putLong(store).putLong(first);
      return out.putInt(crc(out.array(), 0, PREAMBLE - 4, null)).array();
    }

    /** Null where the bytes are no preamble. */
    static Preamble decode(byte[] bytes) {
      if (bytes.length < PREAMBLE) {
        return null;
      }
      ByteBuffer in = ByteBuffer.wrap(bytes);
      if (in.getLong() != MAGIC || in.getInt(PREAMBLE - 4) != crc(bytes, 0, PREAMBLE - 4, null)) {
        return null;
      }
      return new Preamble(in.getInt(), in.getInt(), in.getLong(), in.getLong());
    }
  }

  static int crc(byte[] bytes, int from, int length, byte[] more) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, from, length);
    if (more != null) {
      crc.update(more, 0, more.length);
    }
    return (int) crc.getValue();
  }

  int bytes() {
    return HEAD + payload.length;
  }

  void encode(ByteBuffer out) {
    int at = out.position();
    out.putInt(payload.length).put(type).putLong(sequence).putLong(confirmed);
    byte[] head = new byte[HEAD - 4];
    out.get(at, head);
    out.putInt(crc(head, 0, head.length, payload)).put(payload);
  }

  /**
   * The next frame of a stream of which {@code left} bytes are left; null where none can be read.
   */
  static LogRecord read(InputStream in, long left) throws IOException {
    byte[] head = in.readNBytes(HEAD);
    if (head.length < HEAD) {
      return null;
    }
    ByteBuffer at = ByteBuffer.wrap(head);
    int length = at.getInt();
    if (length < 0 || length > MOST_PAYLOAD || length > left - HEAD) {
      return null;
    }
    byte[] payload = in.readNBytes(length);
    if (payload.length < length || at.getInt(HEAD - 4) != crc(head, 0, HEAD - 4, payload)) {
      return null;
    }
    return new LogRecord(at.get(), at.getLong(), at.getLong(), payload);
  }

  /** The frame that stands at a place of some bytes, or null. */
  static LogRecord at(byte[] bytes, int from, long least) {
    if (from + HEAD > bytes.length) {
      return null;
    }
    ByteBuffer in = ByteBuffer.wrap(bytes, from, bytes.length - from);
    int length = in.getInt();
    byte type = in.get();
    long sequence = in.getLong();
    // Cheap looks first: what follows a damaged frame is searched byte by byte.
    if (length < 0
        || length > bytes.length - from - HEAD
        || type < BATCH
        || type > CLOSE
        || sequence < least) {
      return null;
    }
    long confirmed = in.getLong();
    int crc = in.getInt();
    byte[] payload = new byte[length];
    in.get(payload);
    return crc == crc(bytes, from, HEAD - 4, payload)
        ? new LogRecord(type, sequence, confirmed, payload)
        : null;
  }
}
