package pearusher.store;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * The preamble of a log or checkpoint: the first bytes of the file, as docs/store.md specifies
 * them.
 *
 * @param format version of the file format
 * @param kindCode {@link Kind#code} of a kind, or an unknown code
 * @param storeId random number that all files of one store share
 * @param firstSequence the first sequence of a log, or the last sequence of a checkpoint
 */
record FilePreamble(int format, int kindCode, long storeId, long firstSequence) {
  /** The version of the file format that this code writes. */
  static final int FORMAT = 1;

  /** Length in bytes. */
  static final int LENGTH = 36;

  private static final int CHECKSUM_OFFSET = LENGTH - Integer.BYTES;
  private static final long MAGIC = 0x5045415253544F52L;

  /** The kind of a file. */
  enum Kind {
    LOG(1),
    CHECKPOINT(2);

    private final int code;

    Kind(int code) {
      this.code = code;
    }
  }

  /** Returns a preamble of the current format. */
  static FilePreamble of(Kind kind, long storeId, long firstSequence) {
    return new FilePreamble(FORMAT, kind.code, storeId, firstSequence);
  }

  boolean hasKind(Kind kind) {
    return kindCode == kind.code;
  }

  byte[] encode() {
    ByteBuffer output = ByteBuffer.allocate(LENGTH);
    output.putLong(MAGIC).putInt(format).putInt(kindCode).putLong(storeId).putLong(firstSequence);
    return output.putInt(Checksum.of(output.array(), 0, CHECKSUM_OFFSET)).array();
  }

  /** Decodes a preamble; empty if the bytes are too few, or their magic or checksum is wrong. */
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
