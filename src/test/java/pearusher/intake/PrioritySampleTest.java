package pearusher.intake;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** A sample stands for all items without bias. */
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

  /** Over many seeds the mean of a subset's sum nears the true one as fast as it must. */
  @Test
  void sumsOverASubsetAreUnbiasedAndTheirVarianceIsAsStated() {
    List<Integer> weights = weights();
    double truth =
        weights.stream().filter(PrioritySampleTest::isInSubset).mapToInt(weight -> weight).sum();
    double sum = 0;
    double squaredErrors = 0;
    double statedVariance = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      double estimate = 0;
      PrioritySample<Integer> sample =
          new PrioritySample<>(weights, weight -> weight, SAMPLE_SIZE, new SplittableRandom(seed));
      for (PrioritySample.Kept<Integer> kept : sample.kept()) {
        estimate += isInSubset(kept.item()) ? kept.estimate() : 0;
        statedVariance += isInSubset(kept.item()) ? kept.variance() / SEEDS : 0;
      }
      sum += estimate;
      squaredErrors += (estimate - truth) * (estimate - truth);
    }
    double variance = squaredErrors / SEEDS;
    double tolerance = 4 * Math.sqrt(variance) / Math.sqrt(SEEDS);
    assertEquals(truth, sum / SEEDS, tolerance);
    assertEquals(variance, statedVariance, 0.1 * statedVariance, "the stated variance");
    // The tolerance is narrow enough to see that items without the threshold stand for too little.
    assertTrue(truth * 0.6 > tolerance);
  }
}
