package pearusher.store;

import java.nio.file.Path;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;

/** H2's MVStore as an engine without another log. */
final class MvStoreEngine implements StorageEngine {
  /** The name of the file within the engine's directory. */
  static final String FILE_NAME = "mv";

  /** The name of the map that contains all entries. */
  static final String MAP_NAME = "all";

  private final MVStore store;
  private final MVMap<String, byte[]> map;

  MvStoreEngine(Path directory) {
    store =
        new MVStore.Builder()
            .fileName(directory.resolve(FILE_NAME).toString())
            .autoCommitDisabled()
            .open();
    map = store.openMap(MAP_NAME);
  }

  @Override
  public void append(WriteBatch batch) {
    batch.changes().forEach((key, value) -> map.put(key, value.orElseThrow()));
  }

  @Override
  public void write() {
    store.commit();
  }

  @Override
  public void sync() {
    store.commit();
    store.sync();
  }

  @Override
  public void close() {
    store.close();
  }
}
