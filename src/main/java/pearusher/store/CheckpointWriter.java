package pearusher.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;

/** Writes a checkpoint. */
final class CheckpointWriter {
  /** Size of keys and values in bytes at which a record ends. */
  private static final int ENTRY_BYTES = 32 << 10;

  private final Disk disk;
  private final long storeId;

  CheckpointWriter(Disk disk, long storeId) {
    this.disk = disk;
    this.storeId = storeId;
  }

  /**
   * Writes a checkpoint and makes it durable. The content is synced before the file gets its name,
   * and the name after that: any other order can lose both the old and the new state.
   *
   * @param sequence the last one that the state holds
   * @return the length of the checkpoint in bytes
   */
  long write(long sequence, Map<String, byte[]> state) throws IOException {
    String name = StoreFiles.checkpoint(sequence);
    long bytes;
    try (Disk.AppendFile output = disk.create(StoreFiles.unfinished(name))) {
      FilePreamble preamble = FilePreamble.of(FilePreamble.Kind.CHECKPOINT, storeId, sequence);
      output.write(ByteBuffer.wrap(preamble.encode()));
      writeRecords(output, sequence, state);
      output.sync();
      bytes = output.size();
    }
    disk.rename(StoreFiles.unfinished(name), name);
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
      if (batchBytes >= ENTRY_BYTES) {
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
