package pearusher.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;

/** Writes checkpoints: all keys and values of a store at one sequence, in one file. */
final class CheckpointWriter {
  /** Total size of keys and values in bytes at which a record ends and the next one starts. */
  private static final int TARGET_ENTRY_BYTES = 32 << 10;

  private final Disk disk;
  private final long storeId;

  CheckpointWriter(Disk disk, long storeId) {
    this.disk = disk;
    this.storeId = storeId;
  }

  /**
   * Writes a checkpoint and makes it durable. The content is synced before the file is renamed to
   * its final name, and the directory is synced after that: any other order can lose both the old
   * and the new state in a power failure.
   *
   * @param sequence sequence of the last batch that is included in the state
   * @return the length of the checkpoint in bytes
   */
  long write(long sequence, Map<String, byte[]> state) throws IOException {
    String name = StoreFiles.checkpointName(sequence);
    long bytes;
    try (Disk.AppendFile output = disk.create(StoreFiles.unfinishedName(name))) {
      FilePreamble preamble = FilePreamble.of(FilePreamble.Kind.CHECKPOINT, storeId, sequence);
      output.write(ByteBuffer.wrap(preamble.encode()));
      writeRecords(output, sequence, state);
      output.sync();
      bytes = output.size();
    }
    disk.rename(StoreFiles.unfinishedName(name), name);
    disk.syncDirectory();
    return bytes;
  }

  private static void writeRecords(Disk.AppendFile output, long sequence, Map<String, byte[]> state)
      throws IOException {
    WriteBatch batch = new WriteBatch();
    long batchBytes = 0;
    long index = 0;
    for (Map.Entry<String, byte[]> entry : state.entrySet()) {
      batch.put(entry.getKey(), entry.getValue());
      batchBytes += entry.getKey().length() + entry.getValue().length;
      if (batchBytes >= TARGET_ENTRY_BYTES) {
        writeEntry(output, index, sequence, batch);
        index++;
        batch = new WriteBatch();
        batchBytes = 0;
      }
    }
    writeEntry(output, index, sequence, batch);
    index++;
    byte[] size = ByteBuffer.allocate(Long.BYTES).putLong(state.size()).array();
    writeRecord(output, new LogRecord(LogRecord.Type.END, index, sequence, size));
  }

  private static void writeEntry(
      Disk.AppendFile output, long index, long sequence, WriteBatch batch) throws IOException {
    writeRecord(output, new LogRecord(LogRecord.Type.ENTRY, index, sequence, batch.encode()));
  }

  private static void writeRecord(Disk.AppendFile output, LogRecord record) throws IOException {
    ByteBuffer bytes = ByteBuffer.allocate(record.length());
    record.encode(bytes);
    output.write(bytes.flip());
  }
}
