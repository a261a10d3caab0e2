package pearusher.store;

import java.io.IOException;
import java.nio.file.Path;

/** A storage engine under measurement: the store itself, a plain file or an alternative. */
interface StorageEngine extends AutoCloseable {
  /** Opens an engine in an empty directory. */
  interface Factory {
    StorageEngine open(Path directory) throws IOException;
  }

  void append(WriteBatch batch) throws IOException;

  /** Hands all appended batches to the operating system, so that they survive a killed process. */
  void write() throws IOException;

  /** Makes all appended batches durable. */
  void sync() throws IOException;

  @Override
  void close() throws IOException;
}
