package pearusher.store;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * The first bytes of a log or checkpoint, as docs/store.md specifies them.
 *
 * @param format version of the file format
 * @param kindCode {@link Kind#code} of a kind; other codes are not known to this program
 * @param storeId random number that the files of one store share
 * @param firstSequence the first sequence of a log, or the last one that a checkpoint holds
 */
record FilePreamble(int format, int kindCode, long storeId, long firstSequence) {
  /** The version of the file format that this program writes. */
  static final int FORMAT = 1;

  /** Length in bytes. */
  static final int LENGTH = 36;

  private static final int CHECKSUM_OFFSET = LENGTH - Integer.BYTES;
  private static final long MAGIC = 0x5045415253544F52L;

  /** What a file holds. */
  enum Kind {
    LOG(1),
    CHECKPOINT(2);

    private final int code;

    Kind(int code) {
      this.code = code;
    }
  }

  /** A preamble of this program's format. */
  static FilePreamble of(Kind kind, long storeId, long firstSequence) {
    return new FilePreamble(FORMAT, kind.code, storeId, firstSequence);
  }

  boolean isOf(Kind kind) {
    return kindCode == kind.code;
  }

  byte[] encode() {
    ByteBuffer output = ByteBuffer.allocate(LENGTH);
    output.putLong(MAGIC).putInt(format).putInt(kindCode).putLong(storeId).putLong(firstSequence);
    return output.putInt(Checksum.of(output.array(), 0, CHECKSUM_OFFSET)).array();
  }

  /** Decodes a preamble; empty where the bytes are none. */
  static Optional<FilePreamble> decode(byte[] bytes) {
    if (bytes.length < LENGTH) {
      return Optional.empty();
    }
    ByteBuffer input = ByteBuffer.wrap(bytes);
    if (input.getLong() != MAGIC
        || input.getInt(CHECKSUM_OFFSET) != Checksum.of(bytes, 0, CHECKSUM_OFFSET)) {
      return Optional.empty();
    }
    return Optional.of(
        new FilePreamble(input.getInt(), input.getInt(), input.getLong(), input.getLong()));
  }
}
