package pearusher.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Appends records to the logs of a store. Each log is a separate file. After the first write or
 * sync that fails, nothing more is written: it is unknown which bytes a failed sync made durable,
 * and a later sync that succeeds gives no information about them. Owned by the appending thread,
 * except for {@link #logBytes}. Memory grows with the records that are not yet written.
 */
final class LogWriter implements Closeable {
  private static final int BUFFER_BYTES = 64 << 10;

  /** A larger buffer is released after its write, so that one large group does not keep memory. */
  private static final int MAX_REUSED_BUFFER_BYTES = 16 * BUFFER_BYTES;

  private final Disk disk;
  private final long segmentBytes;
  private final long storeId;
  private Disk.AppendFile log;
  private long nextSerial;
  private long nextSequence;
  private long confirmed;
  private ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
  private IOException failure;

  /** Length of all logs since the last compaction; written by the appending thread only. */
  private volatile long logBytes;

  /**
   * Creates a writer that has no open log yet.
   *
   * @param segmentBytes length in bytes at which a log ends and the next one starts
   * @param nextSerial serial number of the first log to start
   * @param confirmed the last sequence of the earlier logs, which are all synced
   * @param logBytes length of the earlier logs in bytes
   */
  LogWriter(
      Disk disk, long segmentBytes, long storeId, long nextSerial, long confirmed, long logBytes) {
    this.disk = disk;
    this.segmentBytes = segmentBytes;
    this.storeId = storeId;
    this.nextSerial = nextSerial;
    this.confirmed = confirmed;
    this.logBytes = logBytes;
    nextSequence = confirmed + 1;
  }

  /** Starts a log. Its name and preamble are durable before any record is written to it. */
  void startLog() throws IOException {
    log = disk.create(StoreFiles.logName(nextSerial));
    nextSerial++;
    FilePreamble preamble = FilePreamble.of(FilePreamble.Kind.LOG, storeId, nextSequence);
    log.write(ByteBuffer.wrap(preamble.encode()));
    log.sync();
    disk.syncDirectory();
  }

  /** Adds a batch to the unwritten records, and returns its sequence. */
  long append(WriteBatch batch) throws IOException {
    checkUsable();
    addToBuffer(new LogRecord(LogRecord.Type.BATCH, nextSequence, confirmed, batch.encode()));
    long sequence = nextSequence;
    nextSequence++;
    return sequence;
  }

  private void addToBuffer(LogRecord record) {
    if (buffer.remaining() < record.length()) {
      int needed = buffer.position() + record.length();
      ByteBuffer larger = ByteBuffer.allocate(Math.max(buffer.capacity() * 2, needed));
      buffer = larger.put(buffer.flip());
    }
    record.encode(buffer);
  }

  private void checkUsable() throws StoreException {
    if (failure != null) {
      throw new StoreException(
          StoreException.Reason.FAILED,
          "store "
              + disk.describe()
              + " accepts no more batches after a failure: "
              + failure.getMessage(),
          failure);
    }
  }

  boolean hasFailed() {
    return failure != null;
  }

  /** Writes all appended records. */
  // Only the appending thread changes the length.
  @SuppressWarnings("NonAtomicVolatileUpdate")
  void write() throws IOException {
    checkUsable();
    try {
      logBytes += buffer.position();
      log.write(buffer.flip());
      buffer =
          buffer.capacity() > MAX_REUSED_BUFFER_BYTES
              ? ByteBuffer.allocate(BUFFER_BYTES)
              : buffer.clear();
    } catch (IOException e) {
      throw fail(e);
    }
  }

  /** Writes and syncs all appended records, and returns the last sequence. */
  long sync() throws IOException {
    write();
    try {
      log.sync();
      confirmed = nextSequence - 1;
      if (log.size() >= segmentBytes) {
        rotateLog();
      }
    } catch (IOException e) {
      throw fail(e);
    }
    return confirmed;
  }

  /** Syncs all appended records and starts a new log; the earlier logs are no longer written. */
  Store.SealedLogs seal() throws IOException {
    sync();
    try {
      rotateLog();
    } catch (IOException e) {
      throw fail(e);
    }
    logBytes = 0;
    return new Store.SealedLogs(nextSerial - 1, nextSequence - 1);
  }

  private void rotateLog() throws IOException {
    log.close();
    startLog();
  }

  private StoreException fail(IOException cause) {
    failure = cause;
    return new StoreException(
        StoreException.Reason.FAILED,
        "store " + disk.describe() + " failed: " + cause.getMessage(),
        cause);
  }

  /** Returns the length in bytes of the logs that a start would read. Any thread may call it. */
  long logBytes() {
    return logBytes;
  }

  /**
   * Syncs all appended records and then writes and syncs the record of a clean close, unless the
   * writer has failed.
   */
  void finish() throws IOException {
    if (failure == null && log != null) {
      sync();
      addToBuffer(new LogRecord(LogRecord.Type.CLOSE, nextSequence, confirmed, new byte[0]));
      write();
      log.sync();
    }
  }

  @Override
  public void close() throws IOException {
    if (log != null) {
      log.close();
    }
  }
}
