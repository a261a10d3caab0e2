package pearusher.intake;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;

/**
 * Priority sampling (Duffield, Lund and Thorup, Journal of the ACM, 2007): of weighted items those
 * with the largest w/u are kept, u drawn evenly from (0, 1]; the largest w/u that is not kept is
 * the threshold. A kept item stands for max(w, threshold), which makes every sum over a subset
 * unbiased; its variance is estimated without bias by threshold * max(0, threshold - w).
 *
 * @param <T> what is sampled
 */
public final class PrioritySample<T> {

  /**
   * A kept item.
   *
   * @param weight as it came
   * @param estimate the weight that it stands for
   * @param variance estimated, of that estimate
   */
  public record Kept<T>(T item, double weight, double estimate, double variance) {}

  private record Drawn<T>(T item, int place, double weight, double priority) {}

  private final List<Kept<T>> kept = new ArrayList<>();

  /** Keeps {@code most} of the items, in their order; all of them where there are no more. */
  public PrioritySample(
      List<T> items, ToDoubleFunction<T> weight, int most, SplittableRandom random) {
    if (items.size() <= most) {
      items.forEach(
          item ->
              kept.add(
                  new Kept<>(item, weight.applyAsDouble(item), weight.applyAsDouble(item), 0)));
      return;
    }
    List<Drawn<T>> drawn = new ArrayList<>(items.size());
    for (T item : items) {
      double w = weight.applyAsDouble(item);
      drawn.add(new Drawn<>(item, drawn.size(), w, w / (1 - random.nextDouble())));
    }
    drawn.sort(Comparator.comparingDouble((Drawn<T> d) -> -d.priority()));
    double threshold = drawn.get(most).priority();
    drawn.subList(0, most).stream()
        .sorted(Comparator.comparingInt(Drawn::place))
        .forEach(
            d ->
                kept.add(
                    new Kept<>(
                        d.item(),
                        d.weight(),
                        Math.max(d.weight(), threshold),
                        threshold * Math.max(0, threshold - d.weight()))));
  }

  public List<Kept<T>> kept() {
    return kept;
  }
}
