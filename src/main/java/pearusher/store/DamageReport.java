package pearusher.store;

import java.util.StringJoiner;

/** Collects descriptions of files and records that can't be read although they were confirmed. */
final class DamageReport {
  private final StringJoiner faults = new StringJoiner("; ");

  /** Adds a fault at an offset in bytes of a file. */
  void add(String file, long offset, String fault) {
    faults.add(file + " at byte " + offset + ": " + fault);
  }

  /** Returns all faults in the order in which they were added; empty if there are none. */
  String text() {
    return faults.toString();
  }
}
