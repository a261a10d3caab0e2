package pearusher.store;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reads the last consistent state of a directory: the newest complete checkpoint and the logs that
 * follow it. It never changes a file. An instance reads once.
 */
final class StoreReader {
  private static final int MAX_ATTEMPTS = 20;

  private final Disk disk;
  private final StoreDirectory directory;
  private final DamageReport damage = new DamageReport();
  private final List<String> damagedFiles = new ArrayList<>();
  private final Map<String, byte[]> state = new HashMap<>();

  private StoreReader(Disk disk, StoreDirectory directory) {
    this.disk = disk;
    this.directory = directory;
  }

  /** Reads a directory that no other process writes to. */
  static StoreContents read(Disk disk) throws IOException {
    return readBelow(disk, Long.MAX_VALUE);
  }

  /** Reads the logs with a serial below a limit, and the checkpoints that they follow. */
  static StoreContents readBelow(Disk disk, long belowSerial) throws IOException {
    return new StoreReader(disk, StoreDirectory.scan(disk, belowSerial)).read();
  }

  /** Reads a directory whose files a compaction of another process may delete meanwhile. */
  static StoreContents readWhileOpen(Disk disk) throws IOException {
    for (int attempt = 1; ; attempt++) {
      try {
        return read(disk);
      } catch (NoSuchFileException e) {
        if (attempt == MAX_ATTEMPTS) {
          throw e;
        }
      }
    }
  }

  private StoreContents read() throws IOException {
    long unstartedBytes = removeLogsWithoutPreamble();
    LogReplay replay = new LogReplay(disk, state, loadNewestCheckpoint(), damage);
    replay.apply(directory.logs());
    return new StoreContents(
        state,
        directory.storeId(),
        replay.sequence(),
        replay.confirmed(),
        damage.text(),
        new StoreContents.Truncation(
            unstartedBytes + replay.truncatedBytes(), replay.truncatedRecords()),
        replay.isClosed(),
        directory.checkpoints(),
        directory.logs(),
        damagedFiles,
        replay.batches());
  }

  /**
   * Removes logs from the list whose preamble can't be read. Such a log may have been created and
   * not synced at a power failure, and is empty then. Since a preamble is synced before the first
   * record, records without one are damage.
   *
   * @return the length of the empty ones in bytes
   */
  private long removeLogsWithoutPreamble() throws IOException {
    long unstartedBytes = 0;
    for (StoreFile log : List.copyOf(directory.logs())) {
      if (log.hasPreamble()) {
        continue;
      }
      if (TrailingRecords.find(disk, log, 0, 1).batches() > 0) {
        damage.add(log.name(), 0, "the preamble can't be read");
        damagedFiles.add(log.name());
      } else {
        unstartedBytes += log.bytes();
      }
      directory.logs().remove(log);
    }
    return unstartedBytes;
  }

  /** Loads the newest complete checkpoint; its sequence, or 0 where there is none. */
  private long loadNewestCheckpoint() throws IOException {
    for (StoreFile checkpoint : directory.checkpoints()) {
      Optional<String> fault = CheckpointReader.load(disk, checkpoint, state);
      if (fault.isEmpty()) {
        return checkpoint.sequence();
      }
      state.clear();
      damagedFiles.add(checkpoint.name());
      damage.add(checkpoint.name(), 0, fault.get());
    }
    return 0;
  }
}
