package pearusher.control;

import java.nio.file.Path;
import pearusher.store.StoreOptions;

/**
 * The operators' settings of an assigner's persistence.
 *
 * @param directory the directory of the store
 * @param storeOptions the options of the store itself
 * @param maxCommitDelayUs the maximum time that a message waits for the disk, in microseconds
 * @param heartbeatUs the maximum time between two records in the store, in microseconds
 * @param maxTrustedAgeUs the maximum age of the last record at which a start trusts the stored
 *     state of proxies, in microseconds
 */
public record PersistenceOptions(
    Path directory,
    StoreOptions storeOptions,
    long maxCommitDelayUs,
    long heartbeatUs,
    long maxTrustedAgeUs) {}
