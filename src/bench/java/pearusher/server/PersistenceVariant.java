package pearusher.server;

import java.nio.file.Path;
import java.util.Optional;
import java.util.function.LongSupplier;
import pearusher.config.AssignerConfig;
import pearusher.control.DurablePublisher;
import pearusher.control.PersistenceOptions;
import pearusher.store.FileDisk;
import pearusher.store.Store;
import pearusher.store.StoreOptions;

/** The persistence of a measured assigner: no store, or a store with a durability policy. */
enum PersistenceVariant {
  WITHOUT("without") {
    @Override
    Optional<DurablePublisher> open(AssignerConfig config, Path directory, LongSupplier clockUs) {
      return Optional.empty();
    }
  },
  EACH("each") {
    @Override
    Optional<DurablePublisher> open(AssignerConfig config, Path directory, LongSupplier clockUs)
        throws Exception {
      return openStore(StoreOptions.Policy.EACH, config, directory, clockUs);
    }
  },
  INTERVAL("interval") {
    @Override
    Optional<DurablePublisher> open(AssignerConfig config, Path directory, LongSupplier clockUs)
        throws Exception {
      return openStore(StoreOptions.Policy.INTERVAL, config, directory, clockUs);
    }
  };

  private final String figureName;

  PersistenceVariant(String figureName) {
    this.figureName = figureName;
  }

  /** Returns the name of the variant in figures. */
  String figureName() {
    return figureName;
  }

  /**
   * Opens the store in a directory and recovers its contents. Returns empty without persistence.
   */
  abstract Optional<DurablePublisher> open(
      AssignerConfig config, Path directory, LongSupplier clockUs) throws Exception;

  private static Optional<DurablePublisher> openStore(
      StoreOptions.Policy policy, AssignerConfig config, Path directory, LongSupplier clockUs)
      throws Exception {
    StoreOptions options =
        new StoreOptions(policy, 20_000, 8 << 20, 1 << 20, 2, StoreOptions.Damage.REFUSE);
    FileDisk disk = new FileDisk(directory.resolve("store"));
    disk.createDirectory();
    return Optional.of(
        new DurablePublisher(
            config,
            new PersistenceOptions(directory, options, 60_000_000, 5_000_000, 600_000_000),
            Store.open(disk, options),
            clockUs));
  }
}
