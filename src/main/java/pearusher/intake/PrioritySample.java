package pearusher.intake;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;

/**
 * Priority sample (Duffield, Lund and Thorup, Journal of the ACM, 2007). Each item of weight w gets
 * the priority w/u, with u drawn uniformly from (0, 1]. The sample contains the items of the
 * highest priorities; the highest priority outside the sample is the threshold. The weight estimate
 * of a sampled item is max(w, threshold), which makes every sum over a subset unbiased. The
 * unbiased estimate of its variance is threshold * max(0, threshold - w).
 *
 * @param <T> the type of an item
 */
public final class PrioritySample<T> {

  /**
   * Item of the sample.
   *
   * @param weight the item's own weight
   * @param estimate the estimated weight that the item represents in sums over the sample
   * @param variance the estimated variance of {@code estimate}
   */
  public record SampledItem<T>(T item, double weight, double estimate, double variance) {}

  private record Prioritized<T>(T item, int position, double weight, double priority) {}

  private final List<SampledItem<T>> sampledItems = new ArrayList<>();

  /**
   * Draws a sample.
   *
   * @param size the number of items to draw; all items are in the sample if there are no more
   */
  public PrioritySample(
      List<T> items, ToDoubleFunction<T> weight, int size, SplittableRandom random) {
    if (items.size() <= size) {
      items.forEach(item -> addUnchanged(item, weight.applyAsDouble(item)));
      return;
    }
    List<Prioritized<T>> prioritized = prioritize(items, weight, random);
    prioritized.sort(Comparator.comparingDouble((Prioritized<T> item) -> -item.priority()));
    double threshold = prioritized.get(size).priority();
    prioritized.subList(0, size).stream()
        .sorted(Comparator.comparingInt(Prioritized::position))
        .forEach(item -> addWithThreshold(item, threshold));
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

  private void addUnchanged(T item, double weight) {
    sampledItems.add(new SampledItem<>(item, weight, weight, 0));
  }

  private void addWithThreshold(Prioritized<T> item, double threshold) {
    double estimate = Math.max(item.weight(), threshold);
    double variance = threshold * Math.max(0, threshold - item.weight());
    sampledItems.add(new SampledItem<>(item.item(), item.weight(), estimate, variance));
  }

  /** Returns the sampled items, in the order of the input. */
  public List<SampledItem<T>> items() {
    return sampledItems;
  }
}
