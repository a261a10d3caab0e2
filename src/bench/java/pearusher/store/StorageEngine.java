package pearusher.store;

import java.io.IOException;
import java.nio.file.Path;

/** A measured storage engine: the project's store, a plain file or an alternative engine. */
interface StorageEngine extends AutoCloseable {
  /** Opens an engine in an empty directory. */
  interface Factory {
    StorageEngine open(Path directory) throws IOException;
  }

  void append(WriteBatch batch) throws IOException;

  /**
   * Writes all appended batches to the operating system, so that they survive a crash of the
   * process.
   */
  void write() throws IOException;

  /** Makes all appended batches durable. */
  void sync() throws IOException;

  @Override
  void close() throws IOException;
}
