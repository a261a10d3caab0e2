package pearusher.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Appends records to the logs of a store, each log in a file of its own. After the first write or
 * sync that failed nothing is written any more: what a failed sync left is not known, and a later
 * one that succeeds says nothing about it. Owned by the appending thread but for {@link #logBytes}.
 * It grows with the records that are not written yet.
 */
final class LogWriter implements Closeable {
  private static final int BUFFER_BYTES = 64 << 10;

  /** A buffer that has grown beyond this is not reused. */
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
   * A writer without a log.
   *
   * @param segmentBytes length at which a log ends
   * @param nextSerial serial number of the first log to begin
   * @param confirmed the last sequence of earlier logs, all of them synced
   * @param logBytes length of earlier logs
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

  /** Begins a log, whose name and preamble are durable before any record is written to it. */
  void beginLog() throws IOException {
    log = disk.create(StoreFiles.log(nextSerial));
    nextSerial++;
    FilePreamble preamble = FilePreamble.of(FilePreamble.Kind.LOG, storeId, nextSequence);
    log.write(ByteBuffer.wrap(preamble.encode()));
    log.sync();
    disk.syncDirectory();
  }

  /** Adds a batch to those that are not written yet, and returns its sequence. */
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
          "store " + disk.describe() + " takes no more since: " + failure.getMessage(),
          failure);
    }
  }

  boolean hasFailed() {
    return failure != null;
  }

  /** Writes what was appended. */
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

  /** Writes and syncs what was appended, and returns the last sequence. */
  long sync() throws IOException {
    write();
    try {
      log.sync();
      confirmed = nextSequence - 1;
      if (log.size() >= segmentBytes) {
        endLogAndBeginNext();
      }
    } catch (IOException e) {
      throw fail(e);
    }
    return confirmed;
  }

  /** Syncs what was appended and begins a new log; the earlier ones are written no more. */
  Store.Sealed seal() throws IOException {
    sync();
    try {
      endLogAndBeginNext();
    } catch (IOException e) {
      throw fail(e);
    }
    logBytes = 0;
    return new Store.Sealed(nextSerial - 1, nextSequence - 1);
  }

  private void endLogAndBeginNext() throws IOException {
    log.close();
    beginLog();
  }

  private StoreException fail(IOException cause) {
    failure = cause;
    return new StoreException(
        StoreException.Reason.FAILED,
        "store " + disk.describe() + " failed: " + cause.getMessage(),
        cause);
  }

  /** Length in bytes of the logs that a start would read; for any thread. */
  long logBytes() {
    return logBytes;
  }

  /** Syncs what was appended and marks the end as orderly, unless the writer has failed. */
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
