package pearusher.capacity;

import java.util.stream.DoubleStream;
import java.util.stream.IntStream;

/** Splits an integer by weights into parts that add up to it (largest remainder method). */
final class Apportionment {
  private Apportionment() {}

  /**
   * Returns the parts of a total. Each part has at least the minimum; the remainder is split by
   * weight.
   *
   * @throws IllegalArgumentException if the total is too small for the minimum of each part
   */
  static int[] split(int total, double[] weights, int minimum) {
    int free = total - minimum * weights.length;
    if (free < 0) {
      throw new IllegalArgumentException(
          "cannot split " + total + " into " + weights.length + " parts of at least " + minimum);
    }
    double sum = DoubleStream.of(weights).sum();
    int[] parts = new int[weights.length];
    double[] remainders = new double[weights.length];
    int assigned = 0;
    for (int k = 0; k < weights.length; k++) {
      double exact = free * weights[k] / sum;
      parts[k] = minimum + (int) exact;
      remainders[k] = exact - (int) exact;
      assigned += parts[k];
    }
    int[] order =
        IntStream.range(0, weights.length)
            .boxed()
            .sorted((a, b) -> Double.compare(remainders[b], remainders[a]))
            .mapToInt(Integer::intValue)
            .toArray();
    for (int k = 0; assigned < total; k++) {
      parts[order[k % order.length]]++;
      assigned++;
    }
    return parts;
  }

  /** Returns the weights of Zipf's law for ranks from 1. */
  static double[] zipf(int ranks, double exponent) {
    return IntStream.rangeClosed(1, ranks).mapToDouble(rank -> Math.pow(rank, -exponent)).toArray();
  }
}
