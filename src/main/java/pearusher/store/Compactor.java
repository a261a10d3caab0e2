package pearusher.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.OptionalLong;

/**
 * Merges a checkpoint and the logs that follow it into a new checkpoint, and keeps a reserve file
 * so that the next compaction can also write its checkpoint on a full disk. Used by one thread at a
 * time, except for {@link #checkpointBytes}.
 */
final class Compactor {
  private static final int RESERVE_BLOCK_BYTES = 64 << 10;
  private static final long MIN_RESERVE_BYTES = 64 << 10;

  /** The reserve exceeds the last checkpoint by its length divided by this, plus the minimum. */
  private static final int RESERVE_MARGIN_DIVISOR = 4;

  private final Disk disk;
  private final CheckpointWriter checkpoints;

  /** Length of the last checkpoint in bytes, 0 if there is none. */
  private volatile long checkpointBytes;

  Compactor(Disk disk, long storeId, long checkpointBytes) {
    this.disk = disk;
    checkpoints = new CheckpointWriter(disk, storeId);
    this.checkpointBytes = checkpointBytes;
  }

  /**
   * Returns the length of the last checkpoint in bytes, or 0 if there is none. Any thread may call
   * it.
   */
  long checkpointBytes() {
    return checkpointBytes;
  }

  /**
   * Merges the last checkpoint and the sealed logs into a new checkpoint, and deletes them once it
   * is durable.
   *
   * @throws StoreException if not all sealed records can be read; no file was deleted in that case
   */
  void compact(Store.SealedLogs sealed) throws IOException {
    StoreContents contents = StoreReader.readBelow(disk, sealed.serial());
    if (contents.isDamaged() || contents.sequence() != sealed.sequence()) {
      throw new StoreException(
          StoreException.Reason.DAMAGED,
          "store "
              + disk.describe()
              + " can't be compacted, no file was deleted: expected records up to "
              + sealed.sequence()
              + ", can read records up to "
              + contents.sequence()
              + " "
              + contents.damage());
    }
    checkpointBytes = writeCheckpoint(contents);
    deleteReplacedFiles(contents, sealed);
    ensureReserve();
  }

  private long writeCheckpoint(StoreContents contents) throws IOException {
    try {
      return checkpoints.write(contents.sequence(), contents.state());
    } catch (IOException e) {
      // The disk may be full. Deleting the reserve frees more space than a checkpoint needs.
      disk.delete(StoreFiles.unfinishedName(StoreFiles.checkpointName(contents.sequence())));
      disk.delete(StoreFiles.RESERVE);
      disk.syncDirectory();
      return checkpoints.write(contents.sequence(), contents.state());
    }
  }

  private void deleteReplacedFiles(StoreContents contents, Store.SealedLogs sealed)
      throws IOException {
    String newest = StoreFiles.checkpointName(contents.sequence());
    for (StoreFile checkpoint : contents.checkpoints()) {
      if (!checkpoint.name().equals(newest)) {
        disk.delete(checkpoint.name());
      }
    }
    for (String name : disk.list()) {
      OptionalLong serial = StoreFiles.logSerial(name);
      if (serial.isPresent() && serial.getAsLong() < sealed.serial()) {
        disk.delete(name);
      }
    }
    disk.syncDirectory();
  }

  /**
   * Creates a reserve file that is long enough for the next checkpoint, unless there is one. If the
   * disk is too full for the file, there is no new reserve.
   */
  private void ensureReserve() throws IOException {
    long requiredBytes =
        MIN_RESERVE_BYTES + checkpointBytes + checkpointBytes / RESERVE_MARGIN_DIVISOR;
    boolean exists = disk.list().contains(StoreFiles.RESERVE);
    if (exists && disk.size(StoreFiles.RESERVE) >= requiredBytes) {
      return;
    }
    String unfinished = StoreFiles.unfinishedName(StoreFiles.RESERVE);
    try (Disk.AppendFile output = disk.create(unfinished)) {
      for (long remaining = requiredBytes; remaining > 0; remaining -= RESERVE_BLOCK_BYTES) {
        output.write(ByteBuffer.allocate(RESERVE_BLOCK_BYTES));
      }
      output.sync();
      disk.rename(unfinished, StoreFiles.RESERVE);
    } catch (IOException e) {
      disk.delete(unfinished);
    }
  }
}
