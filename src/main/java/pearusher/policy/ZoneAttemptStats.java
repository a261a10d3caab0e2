package pearusher.policy;

import java.util.Arrays;
import java.util.function.ToDoubleFunction;

/**
 * Tries of one server, by the zone whose proxies made them: what earlier control periods brought,
 * decayed, and what the period at hand has brought so far. It grows with the zones that tried this
 * server, never with the zones that exist. Tries of zones that are not told apart are kept together
 * under {@link #ELSEWHERE}.
 */
final class ZoneAttemptStats {
  /** Stands for all zones that are not told apart. */
  static final int ELSEWHERE = -1;

  private static final AttemptStats NONE = new AttemptStats();

  /** Ascending, so that sums do not depend on the order in which zones reported. */
  private int[] zones = {};

  private AttemptStats[] past = {};
  private AttemptStats[] fresh = {};

  /** Whether anything was ever counted, or is still. */
  boolean isEmpty() {
    return zones.length == 0;
  }

  /** What earlier periods brought for a zone; all zero where it never reported. */
  AttemptStats past(int zone) {
    int at = Arrays.binarySearch(zones, zone);
    return at < 0 ? NONE : past[at];
  }

  /** Where tries of the period at hand are counted for a zone. */
  AttemptStats fresh(int zone) {
    int at = Arrays.binarySearch(zones, zone);
    if (at < 0) {
      at = -at - 1;
      insert(at, zone);
    }
    return fresh[at];
  }

  private void insert(int at, int zone) {
    int[] wider = new int[zones.length + 1];
    System.arraycopy(zones, 0, wider, 0, at);
    System.arraycopy(zones, at, wider, at + 1, zones.length - at);
    wider[at] = zone;
    zones = wider;
    past = widen(past, at);
    fresh = widen(fresh, at);
  }

  private static AttemptStats[] widen(AttemptStats[] old, int at) {
    AttemptStats[] wider = new AttemptStats[old.length + 1];
    System.arraycopy(old, 0, wider, 0, at);
    System.arraycopy(old, at, wider, at + 1, old.length - at);
    wider[at] = new AttemptStats();
    return wider;
  }

  /** Ends a period: the past decays by a factor, and what the period brought joins it. */
  void endPeriod(double keep) {
    for (int k = 0; k < past.length; k++) {
      past[k].scale(keep);
      past[k].add(fresh[k]);
      fresh[k].scale(0);
    }
  }

  /**
   * Lets go of what has faded: of all zones together where {@code all}, else of those that are not
   * told apart, once fewer tries than that are left.
   */
  void releaseFaded(boolean all, double leastTries) {
    if (all && sumPast(AttemptStats::tries) < leastTries) {
      clear();
    } else if (!isEmpty() && zones[0] == ELSEWHERE && past[0].tries() < leastTries) {
      remove(0);
    }
  }

  /** Shrinks all of the past alike. */
  void scalePast(double factor) {
    for (AttemptStats tally : past) {
      tally.scale(factor);
    }
  }

  /** Adds what the period at hand has brought so far, zone by zone. */
  void addFreshTo(AttemptStats sum) {
    for (AttemptStats tally : fresh) {
      sum.add(tally);
    }
  }

  /** A zone is told apart no longer: its tries count on among those from elsewhere. */
  void merge(int zone) {
    int at = Arrays.binarySearch(zones, zone);
    if (at >= 0) {
      AttemptStats gone = past[at];
      AttemptStats goneFresh = fresh[at];
      remove(at);
      fresh(ELSEWHERE).add(goneFresh);
      past[Arrays.binarySearch(zones, ELSEWHERE)].add(gone);
    }
  }

  private void remove(int at) {
    int[] narrower = new int[zones.length - 1];
    System.arraycopy(zones, 0, narrower, 0, at);
    System.arraycopy(zones, at + 1, narrower, at, zones.length - at - 1);
    zones = narrower;
    past = narrow(past, at);
    fresh = narrow(fresh, at);
  }

  private static AttemptStats[] narrow(AttemptStats[] old, int at) {
    AttemptStats[] narrower = new AttemptStats[old.length - 1];
    System.arraycopy(old, 0, narrower, 0, at);
    System.arraycopy(old, at + 1, narrower, at, old.length - at - 1);
    return narrower;
  }

  /** Forgets everything. */
  void clear() {
    zones = new int[0];
    past = new AttemptStats[0];
    fresh = new AttemptStats[0];
  }

  /** All zones' past as one: how many good answers, failures, or microseconds. */
  double sumPast(ToDoubleFunction<AttemptStats> of) {
    return sum(past, of);
  }

  /** The same of the period at hand. */
  double sumFresh(ToDoubleFunction<AttemptStats> of) {
    return sum(fresh, of);
  }

  private static double sum(AttemptStats[] tallies, ToDoubleFunction<AttemptStats> of) {
    return Arrays.stream(tallies).mapToDouble(of).sum();
  }

  /** How many zones are told apart, {@link #ELSEWHERE} included. */
  int size() {
    return zones.length;
  }
}
