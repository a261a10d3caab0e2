package pearusher.store;

import java.util.OptionalLong;

/** The names of the files in a store's directory, as docs/store.md specifies them. */
final class StoreFiles {
  /** File that reserves disk space for the next compaction. */
  static final String RESERVE = "reserve";

  /**
   * File that marks the store as abandoned: a process continued without the store, so the stored
   * state is not the last one.
   */
  static final String ABANDONED = "given-up";

  /** Suffix of the names of files that are being written. */
  static final String UNFINISHED_SUFFIX = ".tmp";

  /** Prefix that is added to the names of damaged files. */
  private static final String DAMAGED_PREFIX = "bad-";

  private static final String LOG_PREFIX = "log-";
  private static final String CHECKPOINT_PREFIX = "checkpoint-";
  private static final int NUMBER_DIGITS = 16;
  private static final int HEX_RADIX = 16;

  private StoreFiles() {}

  static String logName(long serial) {
    return LOG_PREFIX + String.format("%016x", serial);
  }

  static String checkpointName(long sequence) {
    return CHECKPOINT_PREFIX + String.format("%016x", sequence);
  }

  static String unfinishedName(String name) {
    return name + UNFINISHED_SUFFIX;
  }

  static boolean isUnfinished(String name) {
    return name.endsWith(UNFINISHED_SUFFIX);
  }

  static String damagedName(String name) {
    return DAMAGED_PREFIX + name;
  }

  /** Returns the serial number of a log; empty for other files. */
  static OptionalLong logSerial(String name) {
    return parseNumber(name, LOG_PREFIX);
  }

  /** Returns the last sequence of a checkpoint; empty for other files. */
  static OptionalLong checkpointSequence(String name) {
    return parseNumber(name, CHECKPOINT_PREFIX);
  }

  private static OptionalLong parseNumber(String name, String prefix) {
    if (!name.startsWith(prefix) || name.length() != prefix.length() + NUMBER_DIGITS) {
      return OptionalLong.empty();
    }
    try {
      long number = Long.parseLong(name.substring(prefix.length()), HEX_RADIX);
      return number < 0 ? OptionalLong.empty() : OptionalLong.of(number);
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }
}
