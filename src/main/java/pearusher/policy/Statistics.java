package pearusher.policy;

import java.util.Collection;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Sums and medians over servers. */
final class Statistics {
  private Statistics() {}

  static double total(Collection<Server> servers, ToDoubleFunction<Server> figure) {
    return servers.stream().mapToDouble(figure).sum();
  }

  /** The median of a figure; 0 where there are no servers. */
  static double median(List<Server> servers, ToDoubleFunction<Server> figure) {
    double[] sorted = servers.stream().mapToDouble(figure).sorted().toArray();
    int count = sorted.length;
    return count == 0 ? 0 : (sorted[(count - 1) / 2] + sorted[count / 2]) / 2;
  }
}
