package pearusher.store;

import java.io.IOException;
import java.nio.file.Path;

/** The project's {@link Store}. */
final class LogEngine implements StorageEngine {
  private final Store store;

  LogEngine(Path directory) throws IOException {
    store = Store.open(new FileDisk(directory), StoreOptions.DEFAULT);
  }

  @Override
  public void append(WriteBatch batch) throws IOException {
    store.append(batch);
  }

  @Override
  public void write() throws IOException {
    store.write();
  }

  @Override
  public void sync() throws IOException {
    store.sync();
  }

  @Override
  public void close() throws IOException {
    store.close();
  }
}
