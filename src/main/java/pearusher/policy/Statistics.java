package pearusher.policy;

import java.util.Collection;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Sums and medians over servers. */
final class Statistics {
  private Statistics() {}

  static double total(Collection<Server> servers, ToDoubleFunction<Server> what) {
    return servers.stream().mapToDouble(what).sum();
  }

  /** 0 where there are no servers. */
  static double median(List<Server> servers, ToDoubleFunction<Server> what) {
    double[] sorted = servers.stream().mapToDouble(what).sorted().toArray();
    int n = sorted.length;
    return n == 0 ? 0 : (sorted[(n - 1) / 2] + sorted[n / 2]) / 2;
  }
}
