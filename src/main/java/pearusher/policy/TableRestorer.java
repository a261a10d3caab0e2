package pearusher.policy;

import static pearusher.policy.Statistics.total;

import java.util.List;
import java.util.Map;

/**
 * Restorer of the tables that an earlier process of this instance had published. Weights, admission
 * levels and retry modes stay in force until reports arrive. Otherwise weights would become even
 * and levels would be lifted after a crash during an overload.
 */
final class TableRestorer {
  /**
   * Bound of the ratio of a response time to the mean that restored weights imply. The weight of an
   * outlier implies a ratio that is too large.
   */
  private static final double MAX_RESPONSE_TIME_RATIO = 4;

  private final FleetState fleet;
  private final AdmissionLevels admission;
  private final OverloadDetector overload;
  private final RestartHold hold;

  TableRestorer(
      FleetState fleet, AdmissionLevels admission, OverloadDetector overload, RestartHold hold) {
    this.fleet = fleet;
    this.admission = admission;
    this.overload = overload;
    this.hold = hold;
  }

  /**
   * Restores the table of a zone from the arguments of {@link AssignmentPolicy#onTableRestored}.
   */
  void restore(long nowUs, int zone, Map<Long, Double> weights, double[] levels, int[] retryModes) {
    ZoneTable table = fleet.tables().get(zone);
    table.recordUse(nowUs);
    restoreWeights(zone, table, weights);
    for (int requestClass = 0; requestClass < admission.classCount(); requestClass++) {
      if (retryModes[requestClass] >= 0) {
        restoreClass(table, requestClass, levels[requestClass], retryModes[requestClass]);
      }
    }
  }

  private void restoreWeights(int zone, ZoneTable table, Map<Long, Double> weights) {
    weights.keySet().stream()
        .filter(fleet.servers()::contains)
        .forEach(id -> table.recordWeight(id, weights.get(id)));
    List<Server> serving =
        table.publishedWeights.keySet().stream()
            .map(fleet.servers()::get)
            .filter(Server::isServing)
            .toList();
    double sum = total(serving, server -> table.publishedWeights.get(server.id));
    table.plan(serving, server -> table.publishedWeight(server.id) / sum);
    restoreTimeRatios(
        serving.stream().filter(server -> server.zone == zone).toList(), table.plannedShares);
    if (!serving.isEmpty()) {
      hold.onTableRestored();
    }
  }

  /**
   * Restores the response time ratios of the servers of the table's own zone. Weights are inverse
   * to response times, and only those of the own zone depend on nothing but response times.
   */
  private static void restoreTimeRatios(List<Server> ownZone, Map<Long, Double> shares) {
    double meanTime =
        total(ownZone, server -> 1 / shares.get(server.id)) / Math.max(1, ownZone.size());
    for (Server server : ownZone) {
      double ratio = 1 / shares.get(server.id) / meanTime;
      server.restoredTimeRatio =
          Math.max(1 / MAX_RESPONSE_TIME_RATIO, Math.min(MAX_RESPONSE_TIME_RATIO, ratio));
    }
  }

  private void restoreClass(ZoneTable table, int requestClass, double level, int retryMode) {
    table.recordAdmission(requestClass, level, retryMode);
    admission.restore(requestClass, level);
    if (retryMode == RetryPolicy.NO_RETRY) {
      overload.restoreOverload();
    }
  }
}
