package pearusher.intake;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;

/**
 * Priority sampling (Duffield, Lund and Thorup, Journal of the ACM, 2007). Each item of weight w
 * gets the priority w/u, with u drawn evenly from (0, 1]. The items of the highest priorities are
 * kept; the highest priority that is not kept is the threshold. A kept item stands for max(w,
 * threshold), which makes every sum over a subset unbiased; the unbiased estimate of its variance
 * is threshold * max(0, threshold - w).
 *
 * @param <T> an item
 */
public final class PrioritySample<T> {

  /**
   * A kept item.
   *
   * @param weight its own weight
   * @param estimate the weight that it stands for
   * @param variance the estimated variance of that estimate
   */
  public record Kept<T>(T item, double weight, double estimate, double variance) {}

  private record Prioritized<T>(T item, int position, double weight, double priority) {}

  private final List<Kept<T>> kept = new ArrayList<>();

  /**
   * Draws a sample.
   *
   * @param size how many items are kept, in their order; all of them where there are no more
   */
  public PrioritySample(
      List<T> items, ToDoubleFunction<T> weight, int size, SplittableRandom random) {
    if (items.size() <= size) {
      items.forEach(item -> keepUnchanged(item, weight.applyAsDouble(item)));
      return;
    }
    List<Prioritized<T>> prioritized = prioritize(items, weight, random);
    prioritized.sort(Comparator.comparingDouble((Prioritized<T> item) -> -item.priority()));
    double threshold = prioritized.get(size).priority();
    prioritized.subList(0, size).stream()
        .sorted(Comparator.comparingInt(Prioritized::position))
        .forEach(item -> keep(item, threshold));
  }

  private static <T> List<Prioritized<T>> prioritize(
      List<T> items, ToDoubleFunction<T> weight, SplittableRandom random) {
    List<Prioritized<T>> prioritized = new ArrayList<>(items.size());
    for (T item : items) {
      double itemWeight = weight.applyAsDouble(item);
      double priority = itemWeight / (1 - random.nextDouble());
      prioritized.add(new Prioritized<>(item, prioritized.size(), itemWeight, priority));
    }
    return prioritized;
  }

  private void keepUnchanged(T item, double weight) {
    kept.add(new Kept<>(item, weight, weight, 0));
  }

  private void keep(Prioritized<T> item, double threshold) {
    double estimate = Math.max(item.weight(), threshold);
    double variance = threshold * Math.max(0, threshold - item.weight());
    kept.add(new Kept<>(item.item(), item.weight(), estimate, variance));
  }

  /** The kept items, in their order. */
  public List<Kept<T>> kept() {
    return kept;
  }
}
