package pearusher.store;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;

/** Reads checkpoints and checks that they are complete. */
final class CheckpointReader {
  private static final int BUFFER_BYTES = 1 << 16;

  private CheckpointReader() {}

  /**
   * Reads all keys and values into a map.
   *
   * @return why the checkpoint can't be used, in which case the map contains only some of its
   *     entries; empty if it is complete
   */
  static Optional<String> load(Disk disk, StoreFile checkpoint, Map<String, byte[]> state)
      throws IOException {
    if (!checkpoint.hasPreamble()) {
      return Optional.of("the preamble can't be read");
    }
    long remaining = checkpoint.bytes() - FilePreamble.LENGTH;
    long entries = 0;
    try (InputStream input = new BufferedInputStream(disk.open(checkpoint.name()), BUFFER_BYTES)) {
      input.skipNBytes(FilePreamble.LENGTH);
      while (true) {
        Optional<LogRecord> record = LogRecord.read(input, remaining);
        if (record.isEmpty()) {
          long offset = checkpoint.bytes() - remaining;
          return Optional.of("the entry at byte " + offset + " can't be read");
        }
        remaining -= record.get().length();
        if (record.get().type() == LogRecord.Type.END) {
          return checkEnd(record.get(), entries, remaining);
        }
        WriteBatch batch = WriteBatch.decode(record.get().payload());
        entries += batch.changes().size();
        batch.applyTo(state);
      }
    }
  }

  private static Optional<String> checkEnd(LogRecord end, long entries, long remaining) {
    long declaredEntries = ByteBuffer.wrap(end.payload()).getLong();
    if (declaredEntries == entries && remaining == 0) {
      return Optional.empty();
    }
    return Optional.of(
        "expected "
            + declaredEntries
            + " entries and 0 bytes after them, found "
            + entries
            + " entries and "
            + remaining
            + " bytes");
  }
}
