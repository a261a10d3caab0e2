package pearusher.store;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * A record of a log or checkpoint, as docs/store.md specifies it: a header and a payload, with a
 * checksum over both.
 *
 * @param sequence sequence of a batch; in a checkpoint the index of the record
 * @param confirmed the highest sequence that was known to be synced when this record was written
 */
record LogRecord(Type type, long sequence, long confirmed, byte[] payload) {
  /** Length of the header in bytes. */
  static final int HEADER_LENGTH = 25;

  /** Limits the memory that a damaged length can allocate. Real batches are far smaller. */
  private static final int MAX_PAYLOAD_BYTES = 64 << 20;

  private static final int CHECKSUM_OFFSET = HEADER_LENGTH - Integer.BYTES;

  /** The type of a record. */
  enum Type {
    /** Any type code that is not listed here. */
    UNKNOWN(0),
    /** A batch of changes in a log. */
    BATCH(1),
    /** Some of the keys and values of a checkpoint. */
    ENTRY(2),
    /** The end of a checkpoint. */
    END(3),
    /** The end of a log that was closed cleanly. */
    CLOSE(4);

    private final byte code;

    Type(int code) {
      this.code = (byte) code;
    }

    private static Type of(byte code) {
      for (Type type : values()) {
        if (type.code == code) {
          return type;
        }
      }
      return UNKNOWN;
    }
  }

  /** Returns the length of the encoded record in bytes. */
  int length() {
    return HEADER_LENGTH + payload.length;
  }

  void encode(ByteBuffer output) {
    int start = output.position();
    output.putInt(payload.length).put(type.code).putLong(sequence).putLong(confirmed);
    byte[] header = new byte[CHECKSUM_OFFSET];
    output.get(start, header);
    output.putInt(Checksum.of(header, 0, header.length, payload)).put(payload);
  }

  /**
   * Reads the next record of a stream.
   *
   * @param remaining number of bytes that the stream has left
   * @return the record; empty if the next bytes are not a record
   */
  static Optional<LogRecord> read(InputStream input, long remaining) throws IOException {
    byte[] header = input.readNBytes(HEADER_LENGTH);
    if (header.length < HEADER_LENGTH) {
      return Optional.empty();
    }
    ByteBuffer fields = ByteBuffer.wrap(header);
    int length = fields.getInt();
    if (length < 0 || length > MAX_PAYLOAD_BYTES || length > remaining - HEADER_LENGTH) {
      return Optional.empty();
    }
    byte[] payload = input.readNBytes(length);
    if (payload.length < length
        || fields.getInt(CHECKSUM_OFFSET) != Checksum.of(header, 0, CHECKSUM_OFFSET, payload)) {
      return Optional.empty();
    }
    return Optional.of(
        new LogRecord(Type.of(fields.get()), fields.getLong(), fields.getLong(), payload));
  }

  /**
   * Decodes the record at an offset of an array.
   *
   * @param minSequence lowest sequence that the record may have
   * @return the record; empty if the bytes at the offset are not a record
   */
  static Optional<LogRecord> decodeAt(byte[] bytes, int offset, long minSequence) {
    if (offset + HEADER_LENGTH > bytes.length) {
      return Optional.empty();
    }
    ByteBuffer input = ByteBuffer.wrap(bytes, offset, bytes.length - offset);
    int length = input.getInt();
    Type type = Type.of(input.get());
    long sequence = input.getLong();
    // Cheap checks come first, because the bytes after a damaged record are searched one by one.
    if (length < 0
        || length > bytes.length - offset - HEADER_LENGTH
        || type == Type.UNKNOWN
        || sequence < minSequence) {
      return Optional.empty();
    }
    long confirmed = input.getLong();
    int checksum = input.getInt();
    byte[] payload = new byte[length];
    input.get(payload);
    if (checksum != Checksum.of(bytes, offset, CHECKSUM_OFFSET, payload)) {
      return Optional.empty();
    }
    return Optional.of(new LogRecord(type, sequence, confirmed, payload));
  }
}
