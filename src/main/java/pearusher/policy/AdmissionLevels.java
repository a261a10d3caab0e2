package pearusher.policy;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Computes the admission level of each request class. Under overload, requests of the lowest
 * priority are shed first.
 */
final class AdmissionLevels {
  /** Rate limit that is too high to have an effect. */
  static final double UNLIMITED_REQUESTS_PER_SECOND = 1e6;

  /** Minimum admitted share of the requests of a class. */
  private static final double MIN_ADMITTED_CLASS_SHARE = 0.03;

  private final PolicySettings settings;
  private final ProxyRegistry proxies;
  private final double[] levels;

  AdmissionLevels(PolicySettings settings, ProxyRegistry proxies) {
    this.settings = settings;
    this.proxies = proxies;
    levels = new double[settings.requestClasses().size()];
    Arrays.fill(levels, fullLevel(settings));
  }

  /**
   * Returns the level that admits all requests: a share or a rate, depending on the admission mode.
   */
  static double fullLevel(PolicySettings settings) {
    return settings.admissionMode() == AdmissionMode.RATE ? UNLIMITED_REQUESTS_PER_SECOND : 1;
  }

  int classCount() {
    return levels.length;
  }

  /** Returns the level to publish for a class; always 1 without admission control. */
  double level(int requestClass) {
    return settings.admissionMode() == AdmissionMode.NONE ? 1 : levels[requestClass];
  }

  /** Applies a level published by an earlier process if it is lower than the current one. */
  void restore(int requestClass, double level) {
    levels[requestClass] = Math.min(levels[requestClass], level);
  }

  /**
   * Distributes the requests to shed over the classes, lowest priority first.
   *
   * @param admittedShare share of all requests to admit, from 0 to 1
   */
  void update(double admittedShare) {
    double[] requestsPerSecond = new double[levels.length];
    Arrays.setAll(requestsPerSecond, proxies::requestsPerSecond);
    List<Integer> lowestPriorityFirst =
        IntStream.range(0, levels.length)
            .boxed()
            .sorted(Comparator.comparingDouble(this::priorityWeight))
            .toList();
    double rateToShed = (1 - admittedShare) * Arrays.stream(requestsPerSecond).sum();
    for (int requestClass : lowestPriorityFirst) {
      double rate = requestsPerSecond[requestClass];
      double shedRate = Math.min(rateToShed, (1 - MIN_ADMITTED_CLASS_SHARE) * rate);
      rateToShed -= shedRate;
      double share = rate <= 0 ? 1 : 1 - shedRate / rate;
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
    return share >= 1
        ? UNLIMITED_REQUESTS_PER_SECOND
        : rateLimit(requestClass, share * requestsPerSecond);
  }

  /**
   * Returns the rate limit per proxy, in requests per second, at which all proxies together admit a
   * total rate of a class. Proxies with a lower rate than the limit are not limited.
   */
  private double rateLimit(int requestClass, double totalRate) {
    List<Double> rates =
        proxies.all().stream()
            .map(proxy -> proxy.requestsPerSecond[requestClass])
            .sorted()
            .toList();
    double remainingRate = totalRate;
    for (int i = 0; i < rates.size(); i++) {
      double evenRate = remainingRate / (rates.size() - i);
      if (rates.get(i) >= evenRate) {
        return evenRate;
      }
      remainingRate -= rates.get(i);
    }
    return UNLIMITED_REQUESTS_PER_SECOND;
  }
}
