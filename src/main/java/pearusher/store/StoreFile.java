package pearusher.store;

import java.util.OptionalLong;

/**
 * A log or checkpoint.
 *
 * @param number a log's serial number, or the last sequence of a checkpoint, by its name
 * @param preambleSequence the sequence that its preamble states; empty where it has no preamble of
 *     its kind
 */
record StoreFile(String name, long number, OptionalLong preambleSequence, long bytes) {
  boolean hasPreamble() {
    return preambleSequence.isPresent();
  }

  /** A log's first sequence, or the last sequence of a checkpoint; there must be a preamble. */
  long sequence() {
    return preambleSequence.orElseThrow();
  }
}
