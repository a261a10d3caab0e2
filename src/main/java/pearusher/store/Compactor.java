package pearusher.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.OptionalLong;

/**
 * Folds a checkpoint and the logs that follow it into a new checkpoint, and keeps space in reserve
 * for the next time. Used by one thread at a time, but for {@link #checkpointBytes}.
 */
final class Compactor {
  private static final int BLOCK_BYTES = 64 << 10;
  private static final long MIN_RESERVE_BYTES = 64 << 10;

  /** The part of the last checkpoint that the reserve is longer than it. */
  private static final int RESERVE_MARGIN_DIVISOR = 4;

  private final Disk disk;
  private final CheckpointWriter checkpoints;

  /** Length of the last checkpoint. */
  private volatile long checkpointBytes;

  Compactor(Disk disk, long storeId, long checkpointBytes) {
    this.disk = disk;
    checkpoints = new CheckpointWriter(disk, storeId);
    this.checkpointBytes = checkpointBytes;
  }

  /** Length of the last checkpoint in bytes, 0 for none; for any thread. */
  long checkpointBytes() {
    return checkpointBytes;
  }

  /** As {@link Store#compact}. */
  void compact(Store.Sealed sealed) throws IOException {
    StoreContents contents = StoreReader.readBelow(disk, sealed.serial());
    if (contents.isDamaged() || contents.sequence() != sealed.sequence()) {
      throw new StoreException(
          StoreException.Reason.DAMAGED,
          "store "
              + disk.describe()
              + " can't be compacted, nothing was deleted: record "
              + contents.sequence()
              + " of "
              + sealed.sequence()
              + " is the last that can be read "
              + contents.damage());
    }
    checkpointBytes = writeCheckpoint(contents);
    deleteReplacedFiles(contents, sealed);
    keepReserve();
  }

  private long writeCheckpoint(StoreContents contents) throws IOException {
    try {
      return checkpoints.write(contents.sequence(), contents.state());
    } catch (IOException e) {
      // The disk may be full: the reserve is longer than a checkpoint.
      disk.delete(StoreFiles.unfinished(StoreFiles.checkpoint(contents.sequence())));
      disk.delete(StoreFiles.RESERVE);
      disk.syncDirectory();
      return checkpoints.write(contents.sequence(), contents.state());
    }
  }

  private void deleteReplacedFiles(StoreContents contents, Store.Sealed sealed) throws IOException {
    String newest = StoreFiles.checkpoint(contents.sequence());
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

  /** Makes the reserve long enough for the next checkpoint; none is kept on a full disk. */
  private void keepReserve() throws IOException {
    long wanted = MIN_RESERVE_BYTES + checkpointBytes + checkpointBytes / RESERVE_MARGIN_DIVISOR;
    boolean exists = disk.list().contains(StoreFiles.RESERVE);
    if (exists && disk.size(StoreFiles.RESERVE) >= wanted) {
      return;
    }
    String unfinished = StoreFiles.unfinished(StoreFiles.RESERVE);
    try (Disk.AppendFile output = disk.create(unfinished)) {
      for (long remaining = wanted; remaining > 0; remaining -= BLOCK_BYTES) {
        output.write(ByteBuffer.allocate(BLOCK_BYTES));
      }
      output.sync();
      disk.rename(unfinished, StoreFiles.RESERVE);
    } catch (IOException e) {
      disk.delete(unfinished);
    }
  }
}
