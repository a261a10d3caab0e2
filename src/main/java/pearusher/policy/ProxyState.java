package pearusher.policy;

import java.util.ArrayDeque;
import java.util.Arrays;

/**
 * What the module has heard of one proxy and ordered for it; it decides nothing. Grows with the
 * classes.
 */
final class ProxyState {
  final int zone;

  /** Whether it came with tables that an earlier stream had ordered. */
  final boolean holds;

  /** Only servers that the list told a change of may be shut out there. */
  boolean sure;

  /** Requests a second, by class. */
  final double[] perS;

  /**
   * Bound as it should be; and bound at all: its last table's changes go to it till the next bind.
   */
  boolean bound, follows;

  int table;

  /**
   * Lines that it lacks of its zone's table, told as it joined; -1: it holds another one, or none.
   */
  int lacks = -1;

  /** When it joined, and how much time its reports have covered since, by class. */
  final long joinedUs;

  final double[] coveredUs;
  final long[] heardUs;

  /** When messages were sent to it, as far back as the settings' cap on messages looks. */
  final ArrayDeque<Long> messages = new ArrayDeque<>();

  ProxyState(int zone, boolean holds, int grades, long joinedUs) {
    this.joinedUs = joinedUs;
    coveredUs = new double[grades];
    heardUs = new long[grades];
    this.zone = zone;
    table = zone;
    this.holds = holds;
    perS = new double[grades];
  }

  boolean reported() {
    return Arrays.stream(coveredUs).anyMatch(c -> c > 0);
  }
}
