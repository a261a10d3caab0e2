package pearusher.store;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reads the last consistent state of a directory from the newest complete checkpoint and the logs
 * that follow it. It never changes a file. An instance reads once.
 */
final class StoreReader {
  private static final int MAX_READ_ATTEMPTS = 20;

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

  /** Reads the newest complete checkpoint and the logs with a serial number below a limit. */
  static StoreContents readBelow(Disk disk, long belowSerial) throws IOException {
    return new StoreReader(disk, StoreDirectory.scan(disk, belowSerial)).read();
  }

  /** Reads a directory while a compaction of another process may delete files in it. */
  static StoreContents readWhileOpen(Disk disk) throws IOException {
    for (int attempt = 1; ; attempt++) {
      try {
        return read(disk);
      } catch (NoSuchFileException e) {
        if (attempt == MAX_READ_ATTEMPTS) {
          throw e;
        }
      }
    }
  }

  private StoreContents read() throws IOException {
    long emptyLogBytes = removeLogsWithoutPreamble();
    LogReplay replay = new LogReplay(disk, state, loadNewestCheckpoint(), damage);
    replay.apply(directory.logs());
    return new StoreContents(
        state,
        directory.storeId(),
        replay.sequence(),
        replay.confirmed(),
        damage.text(),
        new StoreContents.Truncation(
            emptyLogBytes + replay.truncatedBytes(), replay.truncatedRecords()),
        replay.isClosed(),
        directory.checkpoints(),
        directory.logs(),
        damagedFiles,
        replay.batches());
  }

  /**
   * Removes logs with an unreadable preamble from the list. If a power failure hit a log between
   * its creation and its first sync, it contains no records. Since the preamble is synced before
   * the first record is written, records after an unreadable preamble are damage.
   *
   * @return total length in bytes of the removed logs without records
   */
  private long removeLogsWithoutPreamble() throws IOException {
    long emptyLogBytes = 0;
    for (StoreFile log : List.copyOf(directory.logs())) {
      if (log.hasPreamble()) {
        continue;
      }
      if (TrailingRecords.find(disk, log, 0, 1).batches() > 0) {
        damage.add(log.name(), 0, "the preamble can't be read");
        damagedFiles.add(log.name());
      } else {
        emptyLogBytes += log.bytes();
      }
      directory.logs().remove(log);
    }
    return emptyLogBytes;
  }

  /** Loads the newest complete checkpoint, and returns its sequence, or 0 if there is none. */
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
