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
 * What of a request's time is the table's: a pick by a proxy's table, and what it costs to apply an
 * update. One thread, one call after the other (closed loop), so no call waits for another and
 * there is no coordinated omission to correct. The clock's own reading is in each time; the row
 * {@code nothing} shows it.
 */
@Command(
    name = "pick",
    mixinStandardHelpOptions = true,
    description = "Times picks and updates of a table.")
final class PickBench implements Callable<Integer> {
  private static final int LEAST_UPDATES = 3_000;
  private static final int MOST_UPDATES = 100_000;
  private static final long MOST_NS = 10_000_000_000L;

  @Option(names = "--lines", split = ",", description = "sizes of tables (${DEFAULT-VALUE})")
  private List<Integer> sizes = List.of(30, 300, 2_000, 9_100);

  @Option(names = "--picks", description = "calls timed of each pick (${DEFAULT-VALUE})")
  private int picks = 2_000_000;

  @Option(
      names = "--updates",
      description = "lines of updates applied in each timing (${DEFAULT-VALUE})")
  private int updatedLines = 30_000_000;

  @Option(names = "--seed", description = "of weights and picks (${DEFAULT-VALUE})")
  private long seed = 1;

  /** Keeps the picks from being optimised away. */
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
    String[] lines = new String[size];
    for (int k = 0; k < size; k++) {
      lines[k] = line(k, random);
    }
    int updates = Math.max(LEAST_UPDATES, Math.min(MOST_UPDATES, updatedLines / size));
    String whole = String.join(",", lines);
    String[] changes = new String[updates];
    for (int k = 0; k < updates; k++) {
      changes[k] = line(random.nextInt(size), random);
    }
    ProxyTable table = new ProxyTable();
    table.replace(whole);
    table.buildAlias();
    String at = "lines_" + size + ".";
    time(at + "pick_sums", picks, k -> checksum += table.pickBySums(random));
    time(at + "pick_alias", picks, k -> checksum += table.pickByAlias(random));
    time(at + "pick_of_two", picks, k -> checksum += table.pickOfTwo(random));
    time(at + "change_line_sums", updates, k -> table.change(changes[k]));
    time(
        at + "change_line_alias",
        updates,
        k -> {
          table.change(changes[k]);
          table.buildAlias();
        });
    time(at + "whole_table_sums", updates, k -> table.replace(whole));
    time(
        at + "whole_table_alias",
        updates,
        k -> {
          table.replace(whole);
          table.buildAlias();
        });
  }

  private static String line(int server, SplittableRandom random) {
    float weight = (float) (0.1 + random.nextDouble());
    return "s-" + Integer.toHexString(0x5be2a07c + 7919 * server) + ":" + weight;
  }

  /** Runs it once untimed for the compiler, then timed. */
  private static void time(String name, int calls, IntConsumer what) {
    for (int k = 0; k < calls; k++) {
      what.accept(k);
    }
    Histogram times = new Histogram(MOST_NS, 3);
    for (int k = 0; k < calls; k++) {
      long start = System.nanoTime();
      what.accept(k);
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
