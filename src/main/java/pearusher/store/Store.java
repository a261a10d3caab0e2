package pearusher.store;

import java.io.Closeable;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.Map;
import java.util.OptionalLong;

/**
 * An open store. Batches of changes to keyed values are appended to a log, which is compacted into
 * checkpoints. One thread appends and syncs. {@link #compact} may run on another thread, because it
 * only reads files that are no longer written. Memory grows with the records that are not yet
 * written; until {@link #releaseRecovered} is called, it also includes all recovered values.
 */
public final class Store implements Closeable {

  /**
   * The state that was recovered when the store was opened.
   *
   * @param state all values by key
   * @param sequence sequence of the last batch that is included in the state
   * @param damage description of the confirmed records that were lost; empty if none were lost
   * @param truncatedBytes unconfirmed bytes that were dropped at the end of the log
   * @param truncatedRecords complete records in the dropped bytes
   * @param wasClosed whether the last process closed the store cleanly
   * @param wasAbandoned whether an earlier process continued without the store
   */
  public record Recovered(
      Map<String, byte[]> state,
      long sequence,
      String damage,
      long truncatedBytes,
      long truncatedRecords,
      boolean wasClosed,
      boolean wasAbandoned) {}

  /**
   * The logs that a compaction may read, because they are no longer written.
   *
   * @param serial all logs with a lower serial number are sealed
   * @param sequence sequence of the last batch in the sealed logs
   */
  public record SealedLogs(long serial, long sequence) {}

  private final Disk disk;
  private final StoreOptions options;
  private final Closeable lock;
  private final LogWriter writer;
  private final Compactor compactor;
  private Recovered recovered;

  private Store(
      Disk disk,
      StoreOptions options,
      Closeable lock,
      LogWriter writer,
      Compactor compactor,
      Recovered recovered) {
    this.disk = disk;
    this.options = options;
    this.lock = lock;
    this.writer = writer;
    this.compactor = compactor;
    this.recovered = recovered;
  }

  /**
   * Opens the store in a directory, and creates an empty one if there is none.
   *
   * @throws StoreException if the directory can't be used; no file was changed in that case
   */
  public static Store open(Disk disk, StoreOptions options) throws IOException {
    Closeable lock = lock(disk);
    try {
      StoreContents contents = StoreReader.read(disk);
      if (contents.isDamaged() && options.onDamage() == StoreOptions.Damage.REFUSE) {
        throw new StoreException(
            StoreException.Reason.DAMAGED,
            "store "
                + disk.describe()
                + " is damaged: "
                + contents.damage()
                + "; restore a backup, or set 'damage stop' to continue from record "
                + contents.sequence());
      }
      return open(disk, options, lock, contents);
    } catch (IOException | RuntimeException e) {
      lock.close();
      throw e;
    }
  }

  private static Closeable lock(Disk disk) throws StoreException {
    try {
      return disk.lock();
    } catch (StoreException e) {
      throw e;
    } catch (IOException e) {
      throw new StoreException(
          StoreException.Reason.ABSENT,
          "store "
              + disk.describe()
              + " can't be opened: "
              + e
              + "; create the directory, or give this user write permission",
          e);
    }
  }

  private static Store open(Disk disk, StoreOptions options, Closeable lock, StoreContents contents)
      throws IOException {
    removeUnusableFiles(disk, contents);
    long storeId = contents.hasStore() ? contents.storeId() : randomStoreId();
    LogWriter writer =
        new LogWriter(
            disk,
            options.segmentBytes(),
            storeId,
            nextSerial(disk),
            contents.sequence(),
            contents.logBytes());
    long checkpointBytes =
        contents.checkpoints().isEmpty() ? 0 : contents.checkpoints().get(0).bytes();
    Recovered recovered = recovered(disk, contents);
    // After a kill, the records that were read may exist in the page cache only. The preamble of
    // the new log states that they exist. They must be synced first: otherwise the next start would
    // report damage if a power failure lost them.
    for (StoreFile log : contents.logs()) {
      disk.sync(log.name());
    }
    writer.startLog();
    Compactor compactor = new Compactor(disk, storeId, checkpointBytes);
    return new Store(disk, options, lock, writer, compactor, recovered);
  }

  /** Deletes unfinished files, and renames damaged ones so that operators can examine them. */
  private static void removeUnusableFiles(Disk disk, StoreContents contents) throws IOException {
    for (String name : disk.list()) {
      if (StoreFiles.isUnfinished(name)) {
        disk.delete(name);
      }
    }
    for (String name : contents.damagedFiles()) {
      disk.rename(name, StoreFiles.damagedName(name));
    }
  }

  /**
   * Returns the serial number of the next log, which is above those of all logs, including logs
   * that can't be read.
   */
  private static long nextSerial(Disk disk) throws IOException {
    long next = 0;
    for (String name : disk.list()) {
      OptionalLong serial = StoreFiles.logSerial(name);
      if (serial.isPresent()) {
        next = Math.max(next, serial.getAsLong() + 1);
      }
    }
    return next;
  }

  private static Recovered recovered(Disk disk, StoreContents contents) throws IOException {
    return new Recovered(
        contents.state(),
        contents.sequence(),
        contents.damage(),
        contents.truncation().bytes(),
        contents.truncation().records(),
        contents.isClosed(),
        disk.list().contains(StoreFiles.ABANDONED));
  }

  /** Returns a random nonzero id for a new store. */
  static long randomStoreId() {
    return new SecureRandom().nextLong() | 1;
  }

  /**
   * Returns the recovered state and releases it, so that its memory can be freed.
   *
   * @return null from the second call on
   */
  public Recovered releaseRecovered() {
    Recovered result = recovered;
    recovered = null;
    return result;
  }

  /**
   * Adds a batch to the current group, without writing to the disk.
   *
   * @return the sequence of the batch
   * @throws StoreException if an earlier write or sync failed
   */
  public long append(WriteBatch batch) throws IOException {
    return writer.append(batch);
  }

  /** Writes the current group. It then survives a kill of the process, but not a power failure. */
  public void write() throws IOException {
    writer.write();
  }

  /**
   * Writes and syncs the current group.
   *
   * @return the last sequence that survives a power failure
   */
  public long sync() throws IOException {
    return writer.sync();
  }

  /**
   * Returns whether the logs have reached the length, in bytes and as a multiple of the last
   * checkpoint, at which the options ask for a compaction.
   */
  public boolean needsCompaction() {
    long limit = (long) (options.minCompactionFactor() * compactor.checkpointBytes());
    return !writer.hasFailed()
        && writer.logBytes() >= Math.max(options.minCompactionBytes(), limit);
  }

  /**
   * Runs the first step of a compaction, on the appending thread: syncs all appended batches and
   * starts a new log. The earlier logs are no longer written.
   *
   * @return the logs that {@link #compact} may read
   */
  public SealedLogs seal() throws IOException {
    return writer.seal();
  }

  /**
   * Runs the second step of a compaction, on any thread: merges the old checkpoint and the sealed
   * logs into a new checkpoint, and deletes them once the new one is durable. After a failure the
   * store still has its old files, and appends are not affected.
   */
  public void compact(SealedLogs sealed) throws IOException {
    compactor.compact(sealed);
  }

  /**
   * Marks the store as abandoned, on any thread: the caller continues without it, so the stored
   * state becomes older than the actual state. The reserve file is deleted first, because the disk
   * may be full.
   */
  public void markAbandoned() throws IOException {
    disk.delete(StoreFiles.RESERVE);
    if (!disk.list().contains(StoreFiles.ABANDONED)) {
      disk.create(StoreFiles.ABANDONED).close();
    }
    disk.syncDirectory();
  }

  /**
   * Removes the mark of {@link #markAbandoned}. The caller must have replaced the complete state by
   * batches that were appended since the store was opened.
   */
  public void clearAbandoned() throws IOException {
    disk.delete(StoreFiles.ABANDONED);
    disk.syncDirectory();
  }

  /**
   * Returns the length in bytes of the logs that a start would read now. Any thread may call it.
   */
  public long logBytes() {
    return writer.logBytes();
  }

  /** Syncs all appended batches, marks the log as cleanly closed and unlocks the directory. */
  @Override
  public void close() throws IOException {
    try (lock;
        writer) {
      writer.finish();
    }
  }
}
