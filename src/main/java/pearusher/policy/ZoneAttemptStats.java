package pearusher.policy;

import java.util.Arrays;
import java.util.function.ToDoubleFunction;

/**
 * Attempts at one server by the zone of the proxies that made them: decayed counts of earlier
 * control periods, and counts of the current one. Zones out of scope share the entry {@link
 * #OTHER_ZONES}. The size grows with the number of zones that sent attempts to this server, not
 * with the number of existing zones.
 */
final class ZoneAttemptStats {
  /** Entry for all zones that have no entry of their own. */
  static final int OTHER_ZONES = -1;

  private static final AttemptStats NONE = new AttemptStats();

  /**
   * Zones with an entry, in ascending order, so that sums do not depend on the order in which zones
   * reported.
   */
  private int[] zones = {};

  private AttemptStats[] past = {};
  private AttemptStats[] current = {};

  /** Returns whether no zone has an entry. */
  boolean isEmpty() {
    return zones.length == 0;
  }

  /**
   * Returns the decayed counts of earlier periods for a zone; all are 0 if the zone never reported.
   * The caller must not modify them.
   */
  AttemptStats past(int zone) {
    int index = Arrays.binarySearch(zones, zone);
    return index < 0 ? NONE : past[index];
  }

  /**
   * Returns the counts of the current period for a zone, creating its entry if needed. The caller
   * may add to them.
   */
  AttemptStats current(int zone) {
    int index = Arrays.binarySearch(zones, zone);
    if (index < 0) {
      index = -index - 1;
      insert(index, zone);
    }
    return current[index];
  }

  private void insert(int index, int zone) {
    int[] extended = new int[zones.length + 1];
    System.arraycopy(zones, 0, extended, 0, index);
    System.arraycopy(zones, index, extended, index + 1, zones.length - index);
    extended[index] = zone;
    zones = extended;
    past = withEntryInserted(past, index);
    current = withEntryInserted(current, index);
  }

  private static AttemptStats[] withEntryInserted(AttemptStats[] old, int index) {
    AttemptStats[] extended = new AttemptStats[old.length + 1];
    System.arraycopy(old, 0, extended, 0, index);
    System.arraycopy(old, index, extended, index + 1, old.length - index);
    extended[index] = new AttemptStats();
    return extended;
  }

  /**
   * Ends a period: multiplies the earlier counts by a decay factor and adds the current counts to
   * them.
   */
  void endPeriod(double decay) {
    for (int k = 0; k < past.length; k++) {
      past[k].scale(decay);
      past[k].add(current[k]);
      current[k].scale(0);
    }
  }

  /**
   * Removes entries whose counts have decayed.
   *
   * @param allZones whether all entries may be removed, otherwise only {@link #OTHER_ZONES}
   * @param minAttempts number of attempts below which entries are removed
   */
  void removeDecayed(boolean allZones, double minAttempts) {
    if (allZones && sumPast(AttemptStats::attempts) < minAttempts) {
      clear();
    } else if (!isEmpty() && zones[0] == OTHER_ZONES && past[0].attempts() < minAttempts) {
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

  /** Moves the counts of a zone that leaves the scope to {@link #OTHER_ZONES}. */
  void mergeIntoOtherZones(int zone) {
    int index = Arrays.binarySearch(zones, zone);
    if (index >= 0) {
      AttemptStats removed = past[index];
      AttemptStats removedCurrent = current[index];
      remove(index);
      current(OTHER_ZONES).add(removedCurrent);
      past[Arrays.binarySearch(zones, OTHER_ZONES)].add(removed);
    }
  }

  private void remove(int index) {
    int[] reduced = new int[zones.length - 1];
    System.arraycopy(zones, 0, reduced, 0, index);
    System.arraycopy(zones, index + 1, reduced, index, zones.length - index - 1);
    zones = reduced;
    past = withEntryRemoved(past, index);
    current = withEntryRemoved(current, index);
  }

  private static AttemptStats[] withEntryRemoved(AttemptStats[] old, int index) {
    AttemptStats[] reduced = new AttemptStats[old.length - 1];
    System.arraycopy(old, 0, reduced, 0, index);
    System.arraycopy(old, index + 1, reduced, index, old.length - index - 1);
    return reduced;
  }

  /** Removes all entries. */
  void clear() {
    zones = new int[0];
    past = new AttemptStats[0];
    current = new AttemptStats[0];
  }

  /** Returns the sum of a metric of the earlier periods over all zones. */
  double sumPast(ToDoubleFunction<AttemptStats> metric) {
    return sum(past, metric);
  }

  /** Returns the sum of a metric of the current period over all zones. */
  double sumCurrent(ToDoubleFunction<AttemptStats> metric) {
    return sum(current, metric);
  }

  private static double sum(AttemptStats[] stats, ToDoubleFunction<AttemptStats> metric) {
    return Arrays.stream(stats).mapToDouble(metric).sum();
  }

  /** Returns the number of entries, including {@link #OTHER_ZONES}. */
  int size() {
    return zones.length;
  }
}
