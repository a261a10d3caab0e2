package pearusher.store;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

/** Stores and options for several tests. */
final class StoreFixture {
  /** The result of {@link Workload#findFault} for a correct state. */
  static final Optional<String> NO_FAULT = Optional.empty();

  static final StoreOptions SMALL_SEGMENTS =
      new StoreOptions(StoreOptions.Policy.EACH, 0, 300, 1, 2, StoreOptions.Damage.REFUSE);
  static final StoreOptions STOP_AT_DAMAGE =
      new StoreOptions(StoreOptions.Policy.EACH, 0, 300, 1, 2, StoreOptions.Damage.STOP);
  private static final StoreOptions SAMPLE_OPTIONS =
      new StoreOptions(StoreOptions.Policy.EACH, 0, 900, 1, 2, StoreOptions.Damage.REFUSE);

  private StoreFixture() {}

  static StoreException openExpectingRefusal(Disk disk) {
    return assertThrows(StoreException.class, () -> Store.open(disk, SMALL_SEGMENTS).close());
  }

  /**
   * Returns a directory with a checkpoint and several logs.
   *
   * @param isClosed whether the store is closed cleanly
   */
  static SimDisk sampleStore(Workload workload, boolean isClosed) throws IOException {
    SimDisk disk = new SimDisk();
    Store store = Store.open(disk, SAMPLE_OPTIONS);
    workload.run(store, 24, true);
    workload.run(store, 24, false);
    workload.sync(store);
    if (isClosed) {
      store.close();
    }
    return disk;
  }

  /** Returns the names of all files except the reserve, which contains no data. */
  static List<String> logsAndCheckpoints(SimDisk disk) {
    return disk.list().stream().filter(name -> !name.equals(StoreFiles.RESERVE)).toList();
  }

  /** Returns the names of the logs in alphabetical order. */
  static List<String> logs(SimDisk disk) {
    return disk.list().stream().filter(name -> name.startsWith("log-")).toList();
  }
}
