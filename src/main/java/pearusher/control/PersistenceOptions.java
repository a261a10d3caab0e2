package pearusher.control;

import java.nio.file.Path;
import pearusher.store.StoreOptions;

/**
 * What the operators say of an assigner's memory on disk.
 *
 * @param maxCommitDelayUs how long an order may wait for the disk, in microseconds
 * @param heartbeatUs longest time without a word in the store
 * @param maxTrustedAgeUs longest silence after which the store is believed in what proxies hold
 */
public record PersistenceOptions(
    Path directory,
    StoreOptions storeOptions,
    long maxCommitDelayUs,
    long heartbeatUs,
    long maxTrustedAgeUs) {}
