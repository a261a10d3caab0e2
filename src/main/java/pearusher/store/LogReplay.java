package pearusher.store;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Applies logs to the state of a checkpoint, and determines the last consistent state.
 *
 * <p>The records of a log are valid up to the first sequence in the preamble of any later log: the
 * log of a new start begins after the last record that the start recovered, which invalidates all
 * records from there on in earlier logs. In the last log, bytes that are not a record are the end
 * of the log, because any power failure may leave such bytes. They are damage if a complete record
 * after them states that they were confirmed. A gap between two logs is always damage.
 */
final class LogReplay {
  private static final int BUFFER_BYTES = 1 << 16;

  /** The sequence limit of the last log. */
  private static final long NO_LIMIT = Long.MAX_VALUE;

  private final Disk disk;
  private final Map<String, byte[]> state;
  private final DamageReport damage;
  private long sequence;
  private long confirmed;
  private long truncatedBytes;
  private long truncatedRecords;
  private boolean isClosed;
  private long batches;

  /**
   * Creates a replay on top of a state.
   *
   * @param state modified by {@link #apply(List)}
   * @param sequence sequence of the last batch that is included in the state
   */
  LogReplay(Disk disk, Map<String, byte[]> state, long sequence, DamageReport damage) {
    this.disk = disk;
    this.state = state;
    this.sequence = sequence;
    this.damage = damage;
    confirmed = sequence;
  }

  long sequence() {
    return sequence;
  }

  /** Returns the highest sequence that is known to have been synced. */
  long confirmed() {
    return confirmed;
  }

  long truncatedBytes() {
    return truncatedBytes;
  }

  long truncatedRecords() {
    return truncatedRecords;
  }

  /** Returns whether the last log ends with the record of a clean close. */
  boolean isClosed() {
    return isClosed;
  }

  /** Returns the number of batches that were applied. */
  long batches() {
    return batches;
  }

  /** Applies the logs in order, up to the first damage. */
  void apply(List<StoreFile> logs) throws IOException {
    for (int k = 0; k < logs.size(); k++) {
      StoreFile log = logs.get(k);
      long limit = firstSequence(logs.subList(k + 1, logs.size()));
      if (limit <= sequence + 1) {
        continue;
      }
      if (log.sequence() > sequence + 1) {
        reportGap(log);
        return;
      }
      if (!apply(log, limit)) {
        return;
      }
    }
  }

  private static long firstSequence(List<StoreFile> logs) {
    return logs.stream().mapToLong(StoreFile::sequence).min().orElse(NO_LIMIT);
  }

  private void reportGap(StoreFile log) {
    long last = log.sequence() - 1;
    damage.add(
        log.name(),
        FilePreamble.LENGTH,
        "records " + (sequence + 1) + " to " + last + " before this log are missing");
  }

  /** Applies the records of a log below a limit, and returns whether the next log may follow. */
  private boolean apply(StoreFile log, long limit) throws IOException {
    long remaining = log.bytes() - FilePreamble.LENGTH;
    long nextSequence = log.sequence();
    isClosed = false;
    try (InputStream input = new BufferedInputStream(disk.open(log.name()), BUFFER_BYTES)) {
      input.skipNBytes(FilePreamble.LENGTH);
      while (nextSequence < limit && remaining > 0) {
        Optional<LogRecord> read = LogRecord.read(input, remaining);
        if (read.isEmpty() || !isExpected(read.get(), nextSequence)) {
          reportEnd(log, log.bytes() - remaining, nextSequence, limit);
          return false;
        }
        LogRecord record = read.get();
        remaining -= record.length();
        confirmed = Math.max(confirmed, Math.min(record.confirmed(), nextSequence));
        isClosed = record.type() == LogRecord.Type.CLOSE;
        if (!isClosed) {
          applyBatch(record);
          nextSequence++;
        }
      }
    }
    if (nextSequence < limit && limit != NO_LIMIT) {
      reportEnd(log, log.bytes(), nextSequence, limit);
      return false;
    }
    return true;
  }

  private static boolean isExpected(LogRecord record, long sequence) {
    boolean isLogRecord =
        record.type() == LogRecord.Type.BATCH || record.type() == LogRecord.Type.CLOSE;
    return isLogRecord && record.sequence() == sequence;
  }

  private void applyBatch(LogRecord record) throws IOException {
    if (record.sequence() > sequence) {
      WriteBatch.decode(record.payload()).applyTo(state);
      sequence = record.sequence();
      batches++;
    }
  }

  /** Records the end of a log before its limit, either as damage or as an unconfirmed end. */
  private void reportEnd(StoreFile log, long offset, long nextSequence, long limit)
      throws IOException {
    TrailingRecords trailing = TrailingRecords.find(disk, log, offset, nextSequence);
    if (limit != NO_LIMIT) {
      damage.add(
          log.name(),
          offset,
          "record "
              + nextSequence
              + " can't be read, and a later log continues from record "
              + limit);
    } else if (trailing.confirmed() >= nextSequence) {
      damage.add(
          log.name(),
          offset,
          "record "
              + nextSequence
              + " can't be read, and it was confirmed; "
              + trailing.batches()
              + " complete records in "
              + (log.bytes() - offset)
              + " bytes follow");
    } else {
      truncatedBytes += log.bytes() - offset;
      truncatedRecords += trailing.batches();
    }
  }
}
