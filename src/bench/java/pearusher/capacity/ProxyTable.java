package pearusher.capacity;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A stand-in of a proxy's table of weighted servers, with three ways to pick. Its lines are in the
 * form of an update, {@code server:weight} with commas between. It grows with the lines of one
 * table.
 */
final class ProxyTable {
  private final Map<String, Integer> places = new HashMap<>();
  private double[] weights = new double[0];

  /** Sums of the weights up to each line. */
  private double[] sums = new double[0];

  /** Vose's alias table: the chance to stay with a line, and the line that is picked else. */
  private double[] stay = new double[0];

  private int[] other = new int[0];
  private int[] inFlight = new int[0];

  /** Takes a whole table from an update's text. */
  void replace(String lines) {
    String[] each = lines.split(",");
    places.clear();
    weights = new double[each.length];
    for (int k = 0; k < each.length; k++) {
      int colon = each[k].lastIndexOf(':');
      places.put(each[k].substring(0, colon), k);
      weights[k] = Double.parseDouble(each[k].substring(colon + 1));
    }
    sums = new double[weights.length];
    inFlight = new int[weights.length];
    addUp(0);
  }

  /** Takes one changed line of a server that the table has; the sums behind it are made anew. */
  void change(String line) {
    int colon = line.lastIndexOf(':');
    int place = places.get(line.substring(0, colon));
    weights[place] = Double.parseDouble(line.substring(colon + 1));
    addUp(place);
  }

  private void addUp(int from) {
    double sum = from > 0 ? sums[from - 1] : 0;
    for (int k = from; k < weights.length; k++) {
      sum += weights[k];
      sums[k] = sum;
    }
  }

  /** Makes the alias table of the weights as they are: all of it, whatever changed. */
  void buildAlias() {
    int n = weights.length;
    double mean = sums[n - 1] / n;
    stay = new double[n];
    other = new int[n];
    int[] stack = new int[n];
    int small = 0;
    int large = n;
    for (int k = 0; k < n; k++) {
      stay[k] = weights[k] / mean;
      if (stay[k] < 1) {
        stack[small++] = k;
      } else {
        stack[--large] = k;
      }
    }
    while (small > 0 && large < n) {
      int less = stack[--small];
      int more = stack[large];
      other[less] = more;
      stay[more] -= 1 - stay[less];
      if (stay[more] < 1) {
        large++;
        stack[small++] = more;
      }
    }
    // What rounding leaves over stays with itself.
    while (small > 0) {
      stay[stack[--small]] = 1;
    }
  }

  int pickBySums(SplittableRandom random) {
    double at = random.nextDouble() * sums[sums.length - 1];
    int place = Arrays.binarySearch(sums, at);
    return Math.min(place < 0 ? -place - 1 : place + 1, sums.length - 1);
  }

  int pickByAlias(SplittableRandom random) {
    int place = random.nextInt(stay.length);
    return random.nextDouble() < stay[place] ? place : other[place];
  }

  /** Two picks by weight, the one with fewer requests in flight. */
  int pickOfTwo(SplittableRandom random) {
    int one = pickBySums(random);
    int two = pickBySums(random);
    int best = inFlight[one] <= inFlight[two] ? one : two;
    inFlight[best]++;
    return best;
  }

  /** The share of a server by its weight. */
  double share(int place) {
    return weights[place] / sums[sums.length - 1];
  }
}
