package pearusher.intake;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests that the estimates of a priority sample are unbiased. */
class PrioritySampleTest {
  private static final int SEEDS = 4000;
  private static final int SAMPLE_SIZE = 40;

  private static List<Integer> weights() {
    List<Integer> weights = new ArrayList<>();
    for (int k = 0; k < 200; k++) {
      weights.add(1 + k * k % 97 + (k % 50 == 0 ? 900 : 0));
    }
    return weights;
  }

  private static boolean isInSubset(int weight) {
    return weight % 2 == 0;
  }

  /** Over many seeds, the mean of a subset's sum is within four standard errors of the true sum. */
  @Test
  void sumsOverASubsetAreUnbiasedAndHaveTheEstimatedVariance() {
    List<Integer> weights = weights();
    double trueSum =
        weights.stream().filter(PrioritySampleTest::isInSubset).mapToInt(weight -> weight).sum();
    double sum = 0;
    double squaredErrors = 0;
    double estimatedVariance = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      double estimate = 0;
      PrioritySample<Integer> sample =
          new PrioritySample<>(weights, weight -> weight, SAMPLE_SIZE, new SplittableRandom(seed));
      for (PrioritySample.SampledItem<Integer> sampled : sample.items()) {
        estimate += isInSubset(sampled.item()) ? sampled.estimate() : 0;
        estimatedVariance += isInSubset(sampled.item()) ? sampled.variance() / SEEDS : 0;
      }
      sum += estimate;
      squaredErrors += (estimate - trueSum) * (estimate - trueSum);
    }
    double variance = squaredErrors / SEEDS;
    double tolerance = 4 * Math.sqrt(variance) / Math.sqrt(SEEDS);
    assertEquals(trueSum, sum / SEEDS, tolerance);
    assertEquals(variance, estimatedVariance, 0.1 * estimatedVariance, "the estimated variance");
    // The tolerance is narrow enough to detect estimates that ignore the threshold and are too low.
    assertTrue(trueSum * 0.6 > tolerance);
  }
}
