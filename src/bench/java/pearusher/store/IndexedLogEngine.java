package pearusher.store;

import java.io.IOException;
import java.nio.file.Path;

/**
 * The project's {@link Store} with an MVStore as its index. The index is committed as often as a
 * checkpoint would be written.
 */
final class IndexedLogEngine implements StorageEngine {
  private static final int APPENDS_PER_COMMIT = 1000;

  private final LogEngine log;
  private final MvStoreEngine index;
  private int appends;

  IndexedLogEngine(Path directory) throws IOException {
    log = new LogEngine(directory);
    index = new MvStoreEngine(directory);
  }

  @Override
  public void append(WriteBatch batch) throws IOException {
    log.append(batch);
    index.append(batch);
    appends++;
    if (appends % APPENDS_PER_COMMIT == 0) {
      index.write();
    }
  }

  @Override
  public void write() throws IOException {
    log.write();
  }

  @Override
  public void sync() throws IOException {
    log.sync();
  }

  @Override
  public void close() throws IOException {
    log.close();
    index.close();
  }
}
