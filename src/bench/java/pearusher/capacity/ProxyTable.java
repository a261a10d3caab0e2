package pearusher.capacity;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A simulated proxy's table of weighted servers, with three methods to pick a server. Tables are
 * parsed from the encoding of an update, {@code server:weight,server:weight}. Grows with the
 * entries of one table.
 */
final class ProxyTable {
  private final Map<String, Integer> indexByServer = new HashMap<>();
  private double[] weights = new double[0];

  /** The sum of the weights up to and including each entry. */
  private double[] cumulativeWeights = new double[0];

  /**
   * Vose's alias table: the probability that a drawn entry itself is picked. Otherwise its alias is
   * picked.
   */
  private double[] stayProbabilities = new double[0];

  private int[] aliases = new int[0];
  private int[] inFlight = new int[0];

  /** Replaces the table with the entries of an update. */
  void replace(String table) {
    String[] entries = table.split(",");
    indexByServer.clear();
    weights = new double[entries.length];
    for (int k = 0; k < entries.length; k++) {
      int colon = entries[k].lastIndexOf(':');
      indexByServer.put(entries[k].substring(0, colon), k);
      weights[k] = Double.parseDouble(entries[k].substring(colon + 1));
    }
    cumulativeWeights = new double[weights.length];
    inFlight = new int[weights.length];
    updateSums(0);
  }

  /** Changes the weight of a server in the table and updates the cumulative weights from it on. */
  void change(String entry) {
    int colon = entry.lastIndexOf(':');
    int index = indexByServer.get(entry.substring(0, colon));
    weights[index] = Double.parseDouble(entry.substring(colon + 1));
    updateSums(index);
  }

  private void updateSums(int from) {
    double sum = from > 0 ? cumulativeWeights[from - 1] : 0;
    for (int k = from; k < weights.length; k++) {
      sum += weights[k];
      cumulativeWeights[k] = sum;
    }
  }

  /** Rebuilds the complete alias table from the weights. */
  void buildAlias() {
    int size = weights.length;
    double mean = cumulativeWeights[size - 1] / size;
    stayProbabilities = new double[size];
    aliases = new int[size];
    int[] stack = new int[size];
    int smallCount = 0;
    int largeStart = size;
    for (int k = 0; k < size; k++) {
      stayProbabilities[k] = weights[k] / mean;
      if (stayProbabilities[k] < 1) {
        stack[smallCount++] = k;
      } else {
        stack[--largeStart] = k;
      }
    }
    while (smallCount > 0 && largeStart < size) {
      int less = stack[--smallCount];
      int more = stack[largeStart];
      aliases[less] = more;
      stayProbabilities[more] -= 1 - stayProbabilities[less];
      if (stayProbabilities[more] < 1) {
        largeStart++;
        stack[smallCount++] = more;
      }
    }
    // Rounding errors may leave entries without an alias.
    while (smallCount > 0) {
      stayProbabilities[stack[--smallCount]] = 1;
    }
  }

  int pickBySums(SplittableRandom random) {
    double target = random.nextDouble() * cumulativeWeights[cumulativeWeights.length - 1];
    int index = Arrays.binarySearch(cumulativeWeights, target);
    return Math.min(index < 0 ? -index - 1 : index + 1, cumulativeWeights.length - 1);
  }

  int pickByAlias(SplittableRandom random) {
    int index = random.nextInt(stayProbabilities.length);
    return random.nextDouble() < stayProbabilities[index] ? index : aliases[index];
  }

  /** Picks two servers by weight and returns the one with fewer requests in flight. */
  int pickOfTwo(SplittableRandom random) {
    int first = pickBySums(random);
    int second = pickBySums(random);
    int best = inFlight[first] <= inFlight[second] ? first : second;
    inFlight[best]++;
    return best;
  }

  /** Returns the share of an entry in the sum of all weights. */
  double share(int index) {
    return weights[index] / cumulativeWeights[cumulativeWeights.length - 1];
  }
}
