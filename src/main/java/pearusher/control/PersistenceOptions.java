package pearusher.control;

import java.nio.file.Path;
import pearusher.store.StoreOptions;

/**
 * The operators' settings of an assigner's store.
 *
 * @param directory where the store is
 * @param storeOptions options of the store itself
 * @param maxCommitDelayUs how long a message may wait for the disk, in microseconds
 * @param heartbeatUs longest time without a record in the store, in microseconds
 * @param maxTrustedAgeUs longest age of the last record at which a start trusts what the store says
 *     about proxies, in microseconds
 */
public record PersistenceOptions(
    Path directory,
    StoreOptions storeOptions,
    long maxCommitDelayUs,
    long heartbeatUs,
    long maxTrustedAgeUs) {}
