package pearusher.store;

import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;

/**
 * The complete records after bytes of a log that are not a record.
 *
 * @param batches number of batches among the records
 * @param confirmed the highest sequence that they state as synced, 0 if there is none
 */
record TrailingRecords(long batches, long confirmed) {

  /**
   * Searches a log byte by byte from an offset on.
   *
   * @param offset where the search starts, in bytes
   * @param minSequence lowest sequence that a record may have
   */
  static TrailingRecords find(Disk disk, StoreFile log, long offset, long minSequence)
      throws IOException {
    byte[] bytes;
    try (InputStream input = disk.open(log.name())) {
      input.skipNBytes(Math.min(offset, log.bytes()));
      bytes = input.readAllBytes();
    }
    long batches = 0;
    long confirmed = 0;
    int position = 0;
    while (position < bytes.length) {
      Optional<LogRecord> found = LogRecord.decodeAt(bytes, position, minSequence);
      if (found.isEmpty()) {
        position++;
        continue;
      }
      LogRecord record = found.get();
      if (record.type() == LogRecord.Type.BATCH) {
        batches++;
      }
      confirmed = Math.max(confirmed, confirmedBy(record));
      position += record.length();
    }
    return new TrailingRecords(batches, confirmed);
  }

  /**
   * Returns the highest sequence that a record states as synced. The record of a clean close
   * confirms all batches before it.
   */
  private static long confirmedBy(LogRecord record) {
    return record.type() == LogRecord.Type.CLOSE ? record.sequence() - 1 : record.confirmed();
  }
}
