/**
 * A small embedded store: keyed values, changed by batches that are taken whole or not at all, kept
 * in a log and checkpoints of a directory. It owns that directory's files, their recovery and their
 * compaction. It must never know what the values mean, nor call anything a success that was not
 * synced as the policy says.
 */
package pearusher.store;
