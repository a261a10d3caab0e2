package pearusher.store;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Applies logs to the state of a checkpoint, and decides where the last consistent state ends.
 *
 * <p>A log counts up to the first sequence that any later log states: a start states by its new log
 * what it took over, and thereby voids all after it. In the last log, bytes that are no record are
 * the end, which any power failure may leave, unless a complete record after them says that they
 * had been confirmed: then they are damage. A gap between logs always is.
 */
final class LogReplay {
  private static final int BUFFER_BYTES = 1 << 16;

  /** The limit of a log that no later one follows. */
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
   * A replay on top of a state.
   *
   * @param state is brought up to date
   * @param sequence the last one that the state holds
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

  /** A sequence that was synced at least. */
  long confirmed() {
    return confirmed;
  }

  long truncatedBytes() {
    return truncatedBytes;
  }

  long truncatedRecords() {
    return truncatedRecords;
  }

  /** Whether the last log ends in order. */
  boolean isClosed() {
    return isClosed;
  }

  /** The number of batches that were applied. */
  long batches() {
    return batches;
  }

  /** Applies the logs in their order, up to the first damage. */
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
        "the records " + (sequence + 1) + " to " + last + " before it are missing");
  }

  /** Applies a log's records below a limit; whether the next log may follow. */
  private boolean apply(StoreFile log, long limit) throws IOException {
    long remaining = log.bytes() - FilePreamble.LENGTH;
    long next = log.sequence();
    isClosed = false;
    try (InputStream input = new BufferedInputStream(disk.open(log.name()), BUFFER_BYTES)) {
      input.skipNBytes(FilePreamble.LENGTH);
      while (next < limit && remaining > 0) {
        Optional<LogRecord> read = LogRecord.read(input, remaining);
        if (read.isEmpty() || !isExpected(read.get(), next)) {
          reportEnd(log, log.bytes() - remaining, next, limit);
          return false;
        }
        LogRecord record = read.get();
        remaining -= record.length();
        confirmed = Math.max(confirmed, Math.min(record.confirmed(), next));
        isClosed = record.type() == LogRecord.Type.CLOSE;
        if (!isClosed) {
          applyBatch(record);
          next++;
        }
      }
    }
    if (next < limit && limit != NO_LIMIT) {
      reportEnd(log, log.bytes(), next, limit);
      return false;
    }
    return true;
  }

  private static boolean isExpected(LogRecord record, long sequence) {
    boolean isOfLog =
        record.type() == LogRecord.Type.BATCH || record.type() == LogRecord.Type.CLOSE;
    return isOfLog && record.sequence() == sequence;
  }

  private void applyBatch(LogRecord record) throws IOException {
    if (record.sequence() > sequence) {
      WriteBatch.decode(record.payload()).applyTo(state);
      sequence = record.sequence();
      batches++;
    }
  }

  /** A log ends before its limit: by damage, or where a power failure left it. */
  private void reportEnd(StoreFile log, long offset, long next, long limit) throws IOException {
    TrailingRecords rest = TrailingRecords.find(disk, log, offset, next);
    if (limit != NO_LIMIT) {
      damage.add(
          log.name(),
          offset,
          "record " + next + " can't be read, and a later log goes on from " + limit);
    } else if (rest.confirmed() >= next) {
      damage.add(
          log.name(),
          offset,
          "record "
              + next
              + " can't be read, and it was confirmed; "
              + rest.batches()
              + " whole records in "
              + (log.bytes() - offset)
              + " bytes follow");
    } else {
      truncatedBytes += log.bytes() - offset;
      truncatedRecords += rest.batches();
    }
  }
}
