package pearusher.store;

import java.util.OptionalLong;

/** The names of the files in a store's directory, as docs/store.md specifies them. */
final class StoreFiles {
  /** Space that is kept for the next compaction. */
  static final String RESERVE = "reserve";

  /** Says that its user went on without the store, whose last state is not the last there was. */
  static final String ABANDONED = "given-up";

  /** Ends the names of files that are being written. */
  static final String UNFINISHED_SUFFIX = ".tmp";

  /** Begins the new names of damaged files. */
  private static final String DAMAGED_PREFIX = "bad-";

  private static final String LOG_PREFIX = "log-";
  private static final String CHECKPOINT_PREFIX = "checkpoint-";
  private static final int NUMBER_DIGITS = 16;
  private static final int HEXADECIMAL = 16;

  private StoreFiles() {}

  static String log(long serial) {
    return LOG_PREFIX + String.format("%016x", serial);
  }

  static String checkpoint(long sequence) {
    return CHECKPOINT_PREFIX + String.format("%016x", sequence);
  }

  static String unfinished(String name) {
    return name + UNFINISHED_SUFFIX;
  }

  static boolean isUnfinished(String name) {
    return name.endsWith(UNFINISHED_SUFFIX);
  }

  static String damaged(String name) {
    return DAMAGED_PREFIX + name;
  }

  /** A log's serial number; empty for other files. */
  static OptionalLong logSerial(String name) {
    return number(name, LOG_PREFIX);
  }

  /** The last sequence that a checkpoint holds; empty for other files. */
  static OptionalLong checkpointSequence(String name) {
    return number(name, CHECKPOINT_PREFIX);
  }

  private static OptionalLong number(String name, String prefix) {
    if (!name.startsWith(prefix) || name.length() != prefix.length() + NUMBER_DIGITS) {
      return OptionalLong.empty();
    }
    try {
      long number = Long.parseLong(name.substring(prefix.length()), HEXADECIMAL);
      return number < 0 ? OptionalLong.empty() : OptionalLong.of(number);
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }
}
