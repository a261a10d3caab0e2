/**
 * An embedded key-value store: atomic batches of changes in a write-ahead log, and checkpoints, in
 * one directory. The package owns the files of that directory, their recovery and their compaction.
 * It does not interpret the values. It reports a batch as durable only after the sync that the
 * policy requires.
 */
package pearusher.store;
