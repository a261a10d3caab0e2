package pearusher.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A table of weighted servers that proxies share, for a zone or for a subset of the fleet. It
 * decides nothing. Grows with the servers that a table may list, never with all that are known.
 */
final class ZoneTable {
  /** Shares by server, as last computed. */
  final Map<Long, Double> plannedShares = new TreeMap<>();

  /** Weights by server, as last published. */
  final Map<Long, Double> publishedWeights = new TreeMap<>();

  /** By server: how often its weight was due for an update and did not fit into the channel. */
  final Map<Long, Integer> delayedUpdates = new TreeMap<>();

  /** Proxies that receive the changes of this table. */
  final List<Integer> followers = new ArrayList<>();

  /** Published admission level, by request class. */
  final double[] admissionLevels;

  /** Published retry mode, by request class. */
  final int[] retryModes;

  /** A bit for each request class whose level was published. */
  int publishedClassBits;

  /** How far requests are kept in the zone: 0, the even share, to 1, the most. */
  double localityPreference;

  /** When the zone last had a proxy at this instance. */
  long lastUsedUs;

  ZoneTable(int classCount, double fullLevel, int defaultRetryMode) {
    admissionLevels = new double[classCount];
    retryModes = new int[classCount];
    Arrays.fill(admissionLevels, fullLevel);
    Arrays.fill(retryModes, defaultRetryMode);
  }
}
