/**
 * A small embedded store: keyed values, changed by atomic batches, kept in a write-ahead log and
 * checkpoints in one directory. The package owns that directory's files, their recovery and their
 * compaction. It does not know what the values mean, and reports nothing as durable before it is
 * synced as the policy says.
 */
package pearusher.store;
