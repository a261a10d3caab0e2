package pearusher.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/**
 * A table of weighted servers that proxies share, for a zone or for a subset of the fleet. It
 * decides nothing: modules read its fields and change them by its methods. Grows with the servers
 * that a table may list, never with all that are known.
 */
final class ZoneTable {
  /** Shares by server, as last computed. */
  final Map<Long, Double> plannedShares = new TreeMap<>();

  /** Weights by server, as last published. */
  final Map<Long, Double> publishedWeights = new TreeMap<>();

  /** By server: how often its weight was due for an update since it was last published. */
  private final Map<Long, Integer> delayedUpdates = new TreeMap<>();

  /** Proxies that receive the changes of this table. Written by {@link ProxyBinder}. */
  final List<Integer> followers = new ArrayList<>();

  /** Published admission level, by request class. */
  final double[] admissionLevels;

  /** Published retry mode, by request class. */
  final int[] retryModes;

  /** A bit for each request class whose level was published. */
  private int publishedClassBits;

  /**
   * How far requests are kept in the zone: 0, the even share, to 1, the most. Written by {@link
   * LocalityPreference}.
   */
  double localityPreference;

  /** When the zone last had a proxy at this instance. */
  private long lastUsedUs;

  ZoneTable(int classCount, double fullLevel, int defaultRetryMode) {
    admissionLevels = new double[classCount];
    retryModes = new int[classCount];
    Arrays.fill(admissionLevels, fullLevel);
    Arrays.fill(retryModes, defaultRetryMode);
  }

  /** Replaces the planned shares by those of the servers whose share is not 0. */
  void plan(Collection<Server> servers, ToDoubleFunction<Server> shareOf) {
    plannedShares.clear();
    for (Server server : servers) {
      double share = shareOf.applyAsDouble(server);
      if (share > 0) {
        plannedShares.put(server.id, share);
      }
    }
  }

  /** The planned share of a server; 0: it is not in the plan. */
  double plannedShare(long server) {
    return plannedShares.getOrDefault(server, 0.0);
  }

  /** The published weight of a server; 0: it has no entry. */
  double publishedWeight(long server) {
    return publishedWeights.getOrDefault(server, 0.0);
  }

  /** Whether the published table lists the server. */
  boolean lists(long server) {
    return publishedWeights.containsKey(server);
  }

  /** Records the published weight of a server; 0 ends its entry. */
  void recordWeight(long server, double weight) {
    delayedUpdates.remove(server);
    if (weight > 0) {
      publishedWeights.put(server, weight);
    } else {
      publishedWeights.remove(server);
    }
  }

  /**
   * Counts that a server's weight is due for an update.
   *
   * @return how often it was, since its weight was last published
   */
  int countDueUpdate(long server) {
    return delayedUpdates.merge(server, 1, Integer::sum);
  }

  /** Forgets the due updates of a server that no table lists. */
  void forgetServer(long server) {
    delayedUpdates.remove(server);
  }

  /** Records the published admission level and retry mode of a request class. */
  void recordAdmission(int requestClass, double level, int retryMode) {
    admissionLevels[requestClass] = level;
    retryModes[requestClass] = retryMode;
    publishedClassBits |= 1 << requestClass;
  }

  /** The number of request classes whose level was published. */
  int publishedClassCount() {
    return Integer.bitCount(publishedClassBits);
  }

  /** Records that the zone has a proxy at this instance. */
  void recordUse(long nowUs) {
    lastUsedUs = nowUs;
  }

  /** Time since the zone last had a proxy at this instance, in microseconds. */
  long unusedUs(long nowUs) {
    return nowUs - lastUsedUs;
  }
}
