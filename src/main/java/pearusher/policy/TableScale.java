package pearusher.policy;

import java.util.List;

/**
 * The factor from a table's planned shares to its published weights. Only ratios of weights count:
 * the scale is chosen so that most warm servers' weights stay as published. It drifts as servers
 * are replaced, and returns towards 1 in steps that the hysteresis of weights hides.
 */
final class TableScale {
  /** A scale this far from 1 returns towards it. */
  private static final double MAX_SCALE = 100;

  private static final double RETURN_STEP = 1 - WeightPublisher.HYSTERESIS / 2;

  private TableScale() {}

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
      return ratios[(count - 1) / 2] * RETURN_STEP;
    }
    return scale < 1 / MAX_SCALE ? scale / RETURN_STEP : scale;
  }
}
