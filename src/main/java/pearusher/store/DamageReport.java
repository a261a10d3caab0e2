package pearusher.store;

import java.util.StringJoiner;

/** Collects what was confirmed and can't be read. */
final class DamageReport {
  private final StringJoiner faults = new StringJoiner("; ");

  /** Adds a fault: where it is, and what is wrong there. */
  void add(String file, long offset, String fault) {
    faults.add(file + " at byte " + offset + ": " + fault);
  }

  /** All faults in the order in which they were added; empty for none. */
  String text() {
    return faults.toString();
  }
}
