package pearusher.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One zone's shared table, or that of a subset of the fleet: the weights planned and those sent. It
 * decides nothing. It grows with the servers that a table may list, never with all that are known.
 */
final class ZoneTable {
  final Map<Long, Double> planned = new TreeMap<>();
  final Map<Long, Double> sent = new TreeMap<>();

  /** Control periods for which a line found no room. */
  final Map<Long, Integer> waits = new TreeMap<>();

  /** The proxies that follow it. */
  final List<Integer> users = new ArrayList<>();

  /** What was ordered of levels and retries, by class; a bit of ordered for each class. */
  final double[] level;

  final int[] retry;
  int ordered;

  /** How far the zone's requests are kept at home, from the even share (0) to the most (1). */
  double home;

  /** When the zone last had a proxy here. */
  long usedUs;

  ZoneTable(int grades, double full, int usualRetry) {
    level = new double[grades];
    retry = new int[grades];
    Arrays.fill(level, full);
    Arrays.fill(retry, usualRetry);
  }
}
