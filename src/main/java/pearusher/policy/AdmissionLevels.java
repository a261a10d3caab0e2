package pearusher.policy;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The admission level of each request class: under overload the lowest priorities are shed first.
 */
final class AdmissionLevels {
  /** A rate so high that it limits nothing, in requests per second. */
  static final double NO_LIMIT = 1e6;

  /** Least share of a class that is admitted. */
  private static final double MIN_CLASS_SHARE = 0.03;

  private final PolicySettings settings;
  private final ProxyRegistry proxies;
  private final double[] levels;

  AdmissionLevels(PolicySettings settings, ProxyRegistry proxies) {
    this.settings = settings;
    this.proxies = proxies;
    levels = new double[settings.requestClasses().size()];
    Arrays.fill(levels, fullLevel(settings));
  }

  /** The level that admits everything: a share or a rate, by the admission mode. */
  static double fullLevel(PolicySettings settings) {
    return settings.admissionMode() == AdmissionMode.RATE ? NO_LIMIT : 1;
  }

  int classCount() {
    return levels.length;
  }

  /** The level to publish for a class. */
  double level(int requestClass) {
    return settings.admissionMode() == AdmissionMode.NONE ? 1 : levels[requestClass];
  }

  /** Restores a level of an earlier process where it admits less. */
  void restore(int requestClass, double level) {
    levels[requestClass] = Math.min(levels[requestClass], level);
  }

  /** Distributes the requests to shed over the classes, lowest priority first. */
  void update(double admittedShare) {
    double[] requestsPerSecond = new double[levels.length];
    Arrays.setAll(requestsPerSecond, proxies::requestsPerSecond);
    List<Integer> lowestPriorityFirst =
        IntStream.range(0, levels.length)
            .boxed()
            .sorted(Comparator.comparingDouble(this::priorityWeight))
            .toList();
    double toShed = (1 - admittedShare) * Arrays.stream(requestsPerSecond).sum();
    for (int requestClass : lowestPriorityFirst) {
      double rate = requestsPerSecond[requestClass];
      double shed = Math.min(toShed, (1 - MIN_CLASS_SHARE) * rate);
      toShed -= shed;
      double share = rate <= 0 ? 1 : 1 - shed / rate;
      levels[requestClass] = levelFor(requestClass, share, rate);
    }
  }

  private double priorityWeight(int requestClass) {
    return settings.requestClasses().get(requestClass).priorityWeight();
  }

  private double levelFor(int requestClass, double share, double requestsPerSecond) {
    if (settings.admissionMode() != AdmissionMode.RATE) {
      return share;
    }
    return share >= 1 ? NO_LIMIT : rateLimit(requestClass, share * requestsPerSecond);
  }

  /** The limit for each proxy that admits so many requests per second of a class in total. */
  private double rateLimit(int requestClass, double totalRate) {
    List<Double> rates =
        proxies.all().stream()
            .map(proxy -> proxy.requestsPerSecond[requestClass])
            .sorted()
            .toList();
    double remaining = totalRate;
    for (int i = 0; i < rates.size(); i++) {
      double evenRate = remaining / (rates.size() - i);
      if (rates.get(i) >= evenRate) {
        return evenRate;
      }
      remaining -= rates.get(i);
    }
    return NO_LIMIT;
  }
}
