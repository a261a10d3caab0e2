package pearusher.capacity;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Prints figures as {@code name value unit} lines. */
final class Figures {
  private static final double HIGH_PERCENTILE = 0.9;

  private Figures() {}

  static void print(String name, double value, String unit) {
    String format = value >= 100 || value == Math.rint(value) ? "%.0f" : "%.3g";
    System.out.println(name + " " + String.format(Locale.ROOT, format, value) + " " + unit);
  }

  /** Prints the mean, the 90th percentile and the maximum over all items. */
  static <T> void printSpread(String name, List<T> items, ToDoubleFunction<T> figure, String unit) {
    printSpread(name, items, figure, item -> 1, unit);
  }

  /** Prints the mean, the 90th percentile and the maximum over weighted items. */
  static <T> void printSpread(
      String name,
      List<T> items,
      ToDoubleFunction<T> figure,
      ToDoubleFunction<T> weight,
      String unit) {
    double totalWeight = items.stream().mapToDouble(weight).sum();
    double weightedSum =
        items.stream()
            .mapToDouble(item -> weight.applyAsDouble(item) * figure.applyAsDouble(item))
            .sum();
    List<T> sorted = items.stream().sorted(Comparator.comparingDouble(figure)).toList();
    double seenWeight = 0;
    double percentile = 0;
    double max = 0;
    for (T item : sorted) {
      max = figure.applyAsDouble(item);
      if (seenWeight < HIGH_PERCENTILE * totalWeight) {
        percentile = max;
      }
      seenWeight += weight.applyAsDouble(item);
    }
    print(name + ".mean", weightedSum / totalWeight, unit);
    print(name + ".p90", percentile, unit);
    print(name + ".most", max, unit);
  }
}
