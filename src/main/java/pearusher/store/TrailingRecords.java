package pearusher.store;

import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;

/**
 * Complete records after a place in a log that is no record.
 *
 * @param batches how many batches there are
 * @param confirmed the highest sequence that they know to be synced, 0 for none
 */
record TrailingRecords(long batches, long confirmed) {

  /**
   * Searches the rest of a log byte by byte.
   *
   * @param minSequence lowest sequence that a record may have
   */
  static TrailingRecords find(Disk disk, StoreFile log, long offset, long minSequence)
      throws IOException {
    byte[] rest;
    try (InputStream input = disk.open(log.name())) {
      input.skipNBytes(Math.min(offset, log.bytes()));
      rest = input.readAllBytes();
    }
    long batches = 0;
    long confirmed = 0;
    int position = 0;
    while (position < rest.length) {
      Optional<LogRecord> found = LogRecord.decodeAt(rest, position, minSequence);
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

  /** An orderly end confirms everything before it. */
  private static long confirmedBy(LogRecord record) {
    return record.type() == LogRecord.Type.CLOSE ? record.sequence() - 1 : record.confirmed();
  }
}
