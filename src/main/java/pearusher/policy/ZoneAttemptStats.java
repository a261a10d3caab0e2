package pearusher.policy;

import java.util.Arrays;
import java.util.function.ToDoubleFunction;

/**
 * Attempts at one server by the zone of the proxies that made them: decayed counts of earlier
 * control periods, and counts of the current one. Zones out of scope share the entry {@link
 * #ELSEWHERE}. Grows with the zones that tried this server, never with the zones that exist.
 */
final class ZoneAttemptStats {
  /** Stands for all zones that have no entry of their own. */
  static final int ELSEWHERE = -1;

  private static final AttemptStats NONE = new AttemptStats();

  /** Ascending, so that sums do not depend on the order in which zones reported. */
  private int[] zones = {};

  private AttemptStats[] past = {};
  private AttemptStats[] current = {};

  /** Whether no zone has an entry. */
  boolean isEmpty() {
    return zones.length == 0;
  }

  /** Decayed counts of earlier periods for a zone; all zero where it never reported. */
  AttemptStats past(int zone) {
    int index = Arrays.binarySearch(zones, zone);
    return index < 0 ? NONE : past[index];
  }

  /** The counts of the current period for a zone, which the caller may add to. */
  AttemptStats current(int zone) {
    int index = Arrays.binarySearch(zones, zone);
    if (index < 0) {
      index = -index - 1;
      insert(index, zone);
    }
    return current[index];
  }

  private void insert(int index, int zone) {
    int[] wider = new int[zones.length + 1];
    System.arraycopy(zones, 0, wider, 0, index);
    System.arraycopy(zones, index, wider, index + 1, zones.length - index);
    wider[index] = zone;
    zones = wider;
    past = widen(past, index);
    current = widen(current, index);
  }

  private static AttemptStats[] widen(AttemptStats[] old, int index) {
    AttemptStats[] wider = new AttemptStats[old.length + 1];
    System.arraycopy(old, 0, wider, 0, index);
    System.arraycopy(old, index, wider, index + 1, old.length - index);
    wider[index] = new AttemptStats();
    return wider;
  }

  /** Ends a period: the past decays by a factor, and the current counts are added to it. */
  void endPeriod(double decay) {
    for (int k = 0; k < past.length; k++) {
      past[k].scale(decay);
      past[k].add(current[k]);
      current[k].scale(0);
    }
  }

  /**
   * Drops entries whose counts have decayed.
   *
   * @param allZones whether all entries may be dropped, else only {@link #ELSEWHERE}
   * @param minAttempts entries with fewer attempts than this are dropped
   */
  void removeDecayed(boolean allZones, double minAttempts) {
    if (allZones && sumPast(AttemptStats::attempts) < minAttempts) {
      clear();
    } else if (!isEmpty() && zones[0] == ELSEWHERE && past[0].attempts() < minAttempts) {
      remove(0);
    }
  }

  /** Scales the counts of earlier periods of all zones. */
  void scalePast(double factor) {
    for (AttemptStats zoneStats : past) {
      zoneStats.scale(factor);
    }
  }

  /** Adds the counts of the current period to a sum, zone by zone. */
  void addCurrentTo(AttemptStats sum) {
    for (AttemptStats zoneStats : current) {
      sum.add(zoneStats);
    }
  }

  /** Moves the counts of a zone that leaves the scope to {@link #ELSEWHERE}. */
  void mergeIntoElsewhere(int zone) {
    int index = Arrays.binarySearch(zones, zone);
    if (index >= 0) {
      AttemptStats removed = past[index];
      AttemptStats removedCurrent = current[index];
      remove(index);
      current(ELSEWHERE).add(removedCurrent);
      past[Arrays.binarySearch(zones, ELSEWHERE)].add(removed);
    }
  }

  private void remove(int index) {
    int[] narrower = new int[zones.length - 1];
    System.arraycopy(zones, 0, narrower, 0, index);
    System.arraycopy(zones, index + 1, narrower, index, zones.length - index - 1);
    zones = narrower;
    past = narrow(past, index);
    current = narrow(current, index);
  }

  private static AttemptStats[] narrow(AttemptStats[] old, int index) {
    AttemptStats[] narrower = new AttemptStats[old.length - 1];
    System.arraycopy(old, 0, narrower, 0, index);
    System.arraycopy(old, index + 1, narrower, index, old.length - index - 1);
    return narrower;
  }

  /** Forgets everything. */
  void clear() {
    zones = new int[0];
    past = new AttemptStats[0];
    current = new AttemptStats[0];
  }

  /** Sums a figure of the earlier periods over all zones. */
  double sumPast(ToDoubleFunction<AttemptStats> figure) {
    return sum(past, figure);
  }

  /** Sums a figure of the current period over all zones. */
  double sumCurrent(ToDoubleFunction<AttemptStats> figure) {
    return sum(current, figure);
  }

  private static double sum(AttemptStats[] stats, ToDoubleFunction<AttemptStats> figure) {
    return Arrays.stream(stats).mapToDouble(figure).sum();
  }

  /** The number of entries, {@link #ELSEWHERE} included. */
  int size() {
    return zones.length;
  }
}
