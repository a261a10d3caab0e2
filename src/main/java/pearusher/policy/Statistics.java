package pearusher.policy;

import java.util.Collection;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Sums and medians of a metric over servers. */
final class Statistics {
  private Statistics() {}

  static double total(Collection<Server> servers, ToDoubleFunction<Server> metric) {
    return servers.stream().mapToDouble(metric).sum();
  }

  /** Returns the median of a metric; 0 if there are no servers. */
  static double median(List<Server> servers, ToDoubleFunction<Server> metric) {
    double[] sorted = servers.stream().mapToDouble(metric).sorted().toArray();
    int count = sorted.length;
    return count == 0 ? 0 : (sorted[(count - 1) / 2] + sorted[count / 2]) / 2;
  }
}
