package pearusher.store;

import java.io.Closeable;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.Map;
import java.util.OptionalLong;

/**
 * An open store: batches of changes to keyed values, appended to a log that is compacted into
 * checkpoints. Appends and syncs come from one thread; {@link #compact} may run on another, since
 * it works on files that are written no more. It grows as {@link LogWriter} does, and until {@link
 * #takeRecovered} with the values that it holds.
 */
public final class Store implements Closeable {

  /**
   * What a start found.
   *
   * @param state all values by key
   * @param sequence the last batch that they hold
   * @param damage what was lost though confirmed, empty for nothing
   * @param truncatedBytes bytes dropped at the end, none of them confirmed
   * @param truncatedRecords complete records among them
   * @param wasClosed whether the last process closed the store in order
   * @param wasAbandoned whether an earlier process went on without the store
   */
  public record Recovered(
      Map<String, byte[]> state,
      long sequence,
      String damage,
      long truncatedBytes,
      long truncatedRecords,
      boolean wasClosed,
      boolean wasAbandoned) {}

  /** Logs that are written no more: those below a serial number, which end with a sequence. */
  public record Sealed(long serial, long sequence) {}

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
   * Opens the store in a directory, or begins an empty one there.
   *
   * @throws StoreException if the directory can't be used; nothing was changed then
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
                + "; restore a backup, or set 'damage stop' to go on from record "
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
              + "; make the directory, or give this user the right to write",
          e);
    }
  }

  private static Store open(Disk disk, StoreOptions options, Closeable lock, StoreContents contents)
      throws IOException {
    removeUnusableFiles(disk, contents);
    long storeId = contents.hasStore() ? contents.storeId() : newId();
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
    // After a kill, what was read may be in the page cache only. The new log states that it exists,
    // so it must be synced: else a power failure would look like damage to the next start.
    for (StoreFile log : contents.logs()) {
      disk.sync(log.name());
    }
    writer.beginLog();
    Compactor compactor = new Compactor(disk, storeId, checkpointBytes);
    return new Store(disk, options, lock, writer, compactor, recovered);
  }

  /** Deletes unfinished files; damaged ones are renamed, for operators to look at. */
  private static void removeUnusableFiles(Disk disk, StoreContents contents) throws IOException {
    for (String name : disk.list()) {
      if (StoreFiles.isUnfinished(name)) {
        disk.delete(name);
      }
    }
    for (String name : contents.damagedFiles()) {
      disk.rename(name, StoreFiles.damaged(name));
    }
  }

  /**
   * The serial number of the next log, above those of all logs, whether they can be read or not.
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

  /** A random id for a new store. */
  static long newId() {
    return new SecureRandom().nextLong() | 1;
  }

  /** What the start found; the second call returns null, so that the memory can be freed. */
  public Recovered takeRecovered() {
    Recovered taken = recovered;
    recovered = null;
    return taken;
  }

  /**
   * Adds a batch to the current group; nothing is written yet.
   *
   * @return the batch's sequence
   * @throws StoreException if an earlier write or sync failed
   */
  public long append(WriteBatch batch) throws IOException {
    return writer.append(batch);
  }

  /** Writes the current group: it survives a kill of the process, but no power failure. */
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

  /** Whether the logs have outgrown the last checkpoint. */
  public boolean needsCompaction() {
    long limit = (long) (options.compactTimes() * compactor.checkpointBytes());
    return !writer.hasFailed() && writer.logBytes() >= Math.max(options.compactBytes(), limit);
  }

  /**
   * The first step of a compaction, on the appending thread: syncs what was appended and begins a
   * new log. The earlier ones are written no more.
   *
   * @return what {@link #compact} may read
   */
  public Sealed seal() throws IOException {
    return writer.seal();
  }

  /**
   * The second step of a compaction, on any thread: folds the old checkpoint and the sealed logs
   * into a new checkpoint, and deletes them once it is durable. A failure leaves the store as it
   * was and appends are not affected.
   */
  public void compact(Sealed sealed) throws IOException {
    compactor.compact(sealed);
  }

  /**
   * Marks that the caller goes on without the store, whose last state is then not the last there
   * was; on any thread. The reserve is deleted first, since the disk may be full.
   */
  public void markAbandoned() throws IOException {
    disk.delete(StoreFiles.RESERVE);
    if (!disk.list().contains(StoreFiles.ABANDONED)) {
      disk.create(StoreFiles.ABANDONED).close();
    }
    disk.syncDirectory();
  }

  /** Removes that mark, once everything that the store holds was appended since the start. */
  public void clearAbandoned() throws IOException {
    disk.delete(StoreFiles.ABANDONED);
    disk.syncDirectory();
  }

  /** Length in bytes of the logs that a start would read now; for any thread. */
  public long logBytes() {
    return writer.logBytes();
  }

  /** Syncs what was appended, marks the end as orderly and releases the directory. */
  @Override
  public void close() throws IOException {
    try (lock;
        writer) {
      writer.finish();
    }
  }
}
