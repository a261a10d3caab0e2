package pearusher.capacity;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.function.IntConsumer;
import org.HdrHistogram.Histogram;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures the time to pick a server from a proxy's table and the time to apply an update to the
 * table. One thread makes one call after another (closed loop). No call waits for another, so there
 * is no coordinated omission to correct. Each time includes the cost of reading the clock, which
 * the row {@code nothing} shows.
 */
@Command(
    name = "pick",
    mixinStandardHelpOptions = true,
    description = "Measures picks and updates of a table.")
final class PickBench implements Callable<Integer> {
  private static final int MIN_UPDATES = 3_000;
  private static final int MAX_UPDATES = 100_000;
  private static final long MAX_RECORDED_NS = 10_000_000_000L;

  @Option(names = "--lines", split = ",", description = "sizes of tables (${DEFAULT-VALUE})")
  private List<Integer> sizes = List.of(30, 300, 2_000, 9_100);

  @Option(names = "--picks", description = "timed calls of each pick method (${DEFAULT-VALUE})")
  private int picks = 2_000_000;

  @Option(
      names = "--updates",
      description = "weight entries applied in each measurement of updates (${DEFAULT-VALUE})")
  private int updatedEntries = 30_000_000;

  @Option(names = "--seed", description = "seed of weights and picks (${DEFAULT-VALUE})")
  private long seed = 1;

  /** Prevents the JIT compiler from eliminating the picks. */
  private long checksum;

  public static void main(String[] args) {
    System.exit(new CommandLine(new PickBench()).execute(args));
  }

  @Override
  public Integer call() {
    SplittableRandom random = new SplittableRandom(seed);
    time("nothing", picks, k -> checksum += k);
    for (int size : sizes) {
      measure(size, random);
    }
    System.out.println("checksum " + checksum + " picks");
    return 0;
  }

  private void measure(int size, SplittableRandom random) {
    String[] entries = new String[size];
    for (int k = 0; k < size; k++) {
      entries[k] = randomEntry(k, random);
    }
    int updates = Math.max(MIN_UPDATES, Math.min(MAX_UPDATES, updatedEntries / size));
    String table = String.join(",", entries);
    String[] changes = new String[updates];
    for (int k = 0; k < updates; k++) {
      changes[k] = randomEntry(random.nextInt(size), random);
    }
    ProxyTable proxyTable = new ProxyTable();
    proxyTable.replace(table);
    proxyTable.buildAlias();
    String prefix = "lines_" + size + ".";
    time(prefix + "pick_sums", picks, k -> checksum += proxyTable.pickBySums(random));
    time(prefix + "pick_alias", picks, k -> checksum += proxyTable.pickByAlias(random));
    time(prefix + "pick_of_two", picks, k -> checksum += proxyTable.pickOfTwo(random));
    time(prefix + "change_line_sums", updates, k -> proxyTable.change(changes[k]));
    time(
        prefix + "change_line_alias",
        updates,
        k -> {
          proxyTable.change(changes[k]);
          proxyTable.buildAlias();
        });
    time(prefix + "whole_table_sums", updates, k -> proxyTable.replace(table));
    time(
        prefix + "whole_table_alias",
        updates,
        k -> {
          proxyTable.replace(table);
          proxyTable.buildAlias();
        });
  }

  private static String randomEntry(int server, SplittableRandom random) {
    float weight = (float) (0.1 + random.nextDouble());
    return "s-" + Integer.toHexString(0x5be2a07c + 7919 * server) + ":" + weight;
  }

  /** Runs all calls untimed to warm up the JIT compiler, then measures each call. */
  private static void time(String name, int calls, IntConsumer operation) {
    for (int k = 0; k < calls; k++) {
      operation.accept(k);
    }
    Histogram times = new Histogram(MAX_RECORDED_NS, 3);
    for (int k = 0; k < calls; k++) {
      long start = System.nanoTime();
      operation.accept(k);
      times.recordValue(System.nanoTime() - start);
    }
    for (double percentile : new double[] {50, 99, 99.9}) {
      System.out.println(
          name
              + ".p"
              + Double.toString(percentile).replace(".0", "")
              + " "
              + times.getValueAtPercentile(percentile)
              + " ns");
    }
  }
}
