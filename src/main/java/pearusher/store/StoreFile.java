package pearusher.store;

import java.util.OptionalLong;

/**
 * A log or checkpoint file.
 *
 * @param number serial number of a log, or last sequence of a checkpoint, parsed from the file name
 * @param preambleSequence the sequence in the preamble; empty if the file has no valid preamble of
 *     its kind
 * @param bytes length of the file in bytes
 */
record StoreFile(String name, long number, OptionalLong preambleSequence, long bytes) {
  boolean hasPreamble() {
    return preambleSequence.isPresent();
  }

  /**
   * Returns the first sequence of a log, or the last sequence of a checkpoint. The file must have a
   * preamble.
   */
  long sequence() {
    return preambleSequence.orElseThrow();
  }
}
