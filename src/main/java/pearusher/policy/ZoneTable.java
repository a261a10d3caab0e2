package pearusher.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/**
 * Table of weighted servers that proxies share, for a zone or for a subset of the fleet. It
 * contains no decision logic: modules read its fields and change them through its methods. Memory
 * grows with the number of servers that a table may list, never with the number of all registered
 * servers.
 */
final class ZoneTable {
  /** Computed shares by server. */
  final Map<Long, Double> plannedShares = new TreeMap<>();

  /** Published weights by server. */
  final Map<Long, Double> publishedWeights = new TreeMap<>();

  /** Number of times that an update of a weight was due since its last publication, by server. */
  private final Map<Long, Integer> dueUpdates = new TreeMap<>();

  /** Proxies that receive the changes of this table. Written by {@link ProxyBinder}. */
  final List<Integer> subscribers = new ArrayList<>();

  /** Published admission level, by request class. */
  final double[] admissionLevels;

  /** Published retry mode, by request class. */
  final int[] retryModes;

  /** Request classes whose admission level was published, as a bit mask. */
  private int publishedClassBits;

  /**
   * Degree to which requests stay in the zone, from 0, the even share, to 1, the maximum. Written
   * by {@link LocalityPreference}.
   */
  double localityPreference;

  /** Time at which the zone last had a proxy at this instance, in microseconds. */
  private long lastUsedUs;

  ZoneTable(int classCount, double fullLevel, int defaultRetryMode) {
    admissionLevels = new double[classCount];
    retryModes = new int[classCount];
    Arrays.fill(admissionLevels, fullLevel);
    Arrays.fill(retryModes, defaultRetryMode);
  }

  /** Replaces the planned shares by those of the servers whose share is above 0. */
  void plan(Collection<Server> servers, ToDoubleFunction<Server> shareOf) {
    plannedShares.clear();
    for (Server server : servers) {
      double share = shareOf.applyAsDouble(server);
      if (share > 0) {
        plannedShares.put(server.id, share);
      }
    }
  }

  /** Returns the planned share of a server; 0 if the server is not planned. */
  double plannedShare(long server) {
    return plannedShares.getOrDefault(server, 0.0);
  }

  /** Returns the published weight of a server; 0 if the server has no entry. */
  double publishedWeight(long server) {
    return publishedWeights.getOrDefault(server, 0.0);
  }

  /** Returns whether the published table lists the server. */
  boolean lists(long server) {
    return publishedWeights.containsKey(server);
  }

  /** Records the published weight of a server; 0 removes its entry. */
  void recordWeight(long server, double weight) {
    dueUpdates.remove(server);
    if (weight > 0) {
      publishedWeights.put(server, weight);
    } else {
      publishedWeights.remove(server);
    }
  }

  /**
   * Counts a due update of a server's weight.
   *
   * @return the number of times that an update was due since the weight was last published
   */
  int countDueUpdate(long server) {
    return dueUpdates.merge(server, 1, Integer::sum);
  }

  /** Clears the number of due updates of a server that no table lists. */
  void clearDueUpdates(long server) {
    dueUpdates.remove(server);
  }

  /** Records the published admission level and retry mode of a request class. */
  void recordAdmission(int requestClass, double level, int retryMode) {
    admissionLevels[requestClass] = level;
    retryModes[requestClass] = retryMode;
    publishedClassBits |= 1 << requestClass;
  }

  /** Returns the number of request classes whose admission level was published. */
  int publishedClassCount() {
    return Integer.bitCount(publishedClassBits);
  }

  /** Records that the zone has a proxy at this instance. */
  void recordUse(long nowUs) {
    lastUsedUs = nowUs;
  }

  /** Returns the time since the zone last had a proxy at this instance, in microseconds. */
  long unusedUs(long nowUs) {
    return nowUs - lastUsedUs;
  }
}
