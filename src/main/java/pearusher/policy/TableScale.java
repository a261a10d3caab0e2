package pearusher.policy;

import java.util.List;

/**
 * Factor from a table's planned shares to its published weights. Only the ratios of weights matter,
 * so the scale is chosen to keep the published weights of most servers past slow start. The scale
 * drifts as servers are replaced, and returns towards 1 in steps that the hysteresis of weights
 * hides.
 */
final class TableScale {
  /** Scale above which, or below whose reciprocal, the scale returns towards 1. */
  private static final double MAX_SCALE = 100;

  /** Multiplies a scale that is too high; divides a scale that is too low. */
  private static final double RETURN_FACTOR = 1 - WeightPublisher.HYSTERESIS / 2;

  private TableScale() {}

  /**
   * Returns the scale of a table; 1 if none of the servers past slow start is both planned and
   * published.
   */
  static double of(ZoneTable table, List<Server> servers) {
    double[] ratios =
        servers.stream()
            .filter(server -> server.slowStartFactor >= 1)
            .filter(server -> table.plannedShares.containsKey(server.id))
            .filter(server -> table.publishedWeights.containsKey(server.id))
            .mapToDouble(
                server ->
                    table.publishedWeights.get(server.id) / table.plannedShares.get(server.id))
            .sorted()
            .toArray();
    int count = ratios.length;
    double scale = count == 0 ? 1 : ratios[count / 2];
    if (scale > MAX_SCALE) {
      return ratios[(count - 1) / 2] * RETURN_FACTOR;
    }
    return scale < 1 / MAX_SCALE ? scale / RETURN_FACTOR : scale;
  }
}
