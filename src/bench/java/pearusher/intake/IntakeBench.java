package pearusher.intake;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Lines a second on one core and bytes allocated a line, from a report to the module's ear: the
 * intake in calm and in floods, beside a plain queue and beside a plain map that merges. Prints
 * {@code name value unit} a line.
 */
public final class IntakeBench {
  private static final int RELAYS = 500;
  private static final int SERVERS = 120;
  private static final float[] NONE = new float[0];
  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  private interface Way {
    void offer(QueuedReport item);

    void drain(long nowUs);
  }

  private static long heard;
  private static boolean quickRun;

  private IntakeBench() {}

  public static void main(String[] args) {
    boolean quick = args.length > 0;
    quickRun = quick;
    int seconds = quick ? 20 : 100;
    for (int round = 0; round < 2; round++) {
      // The first round compiles.
      boolean say = round == 1;
      for (int perRelay : new int[] {1, 10, 100}) {
        Map<QueuedReport.Subject, ReportTotals> merged = new HashMap<>();
        ArrayDeque<QueuedReport> queue = new ArrayDeque<>();
        run(
            say,
            "queue_" + perRelay,
            perRelay,
            seconds,
            new Way() {
              @Override
              public void offer(QueuedReport item) {
                queue.add(item);
              }

              @Override
              public void drain(long nowUs) {
                queue.forEach(item -> heard += item.totals().attempts());
                queue.clear();
              }
            });
        run(
            say,
            "map_" + perRelay,
            perRelay,
            seconds,
            new Way() {
              @Override
              public void offer(QueuedReport item) {
                merged.merge(item.subject(), item.totals(), ReportTotals::plus);
              }

              @Override
              public void drain(long nowUs) {
                merged.values().forEach(sums -> heard += sums.attempts());
                merged.clear();
              }
            });
        Intake intake =
            new Intake(
                new Intake.Bounds(20_000, 5000, 1000, 2_000_000, 120_000_000, true, 1),
                new Intake.Events() {});
        run(
            say,
            "intake_" + perRelay,
            perRelay,
            seconds,
            new Way() {
              @Override
              public void offer(QueuedReport item) {
                intake.offer(item);
              }

              @Override
              public void drain(long nowUs) {
                while (!intake.isOverloaded() && intake.size() > 0) {
                  intake.pollOldest(nowUs, item -> heard += item.totals().attempts());
                }
                intake.serve(nowUs, item -> heard += item.totals().attempts());
              }
            });
      }
    }
    System.out.println("heard " + heard + " tries");
  }

  /** Relays report each second about so many servers; the way is drained ten times a second. */
  private static void run(boolean say, String name, int perRelay, int seconds, Way way) {
    SplittableRandom random = new SplittableRandom(1);
    String[] names = new String[SERVERS];
    for (int k = 0; k < SERVERS; k++) {
      names[k] = "s-" + Integer.toHexString(0x5be2a000 + k);
    }
    int scale = Math.max(quickRun ? 3 : 20, seconds / perRelay);
    long lines = 0;
    long bytes = THREADS.getThreadAllocatedBytes(Thread.currentThread().getId());
    long start = System.nanoTime();
    for (int second = 0; second < scale; second++) {
      for (int tenth = 0; tenth < 10; tenth++) {
        for (int relay = tenth; relay < RELAYS; relay += 10) {
          for (int k = 0; k < perRelay; k++) {
            way.offer(
                new QueuedReport(
                    relay,
                    new QueuedReport.ServerAttempts(names[(relay * 7 + k) % SERVERS], 0),
                    ReportTotals.of(1 + random.nextInt(60), 0, 40_000, 1_000_000, NONE)));
            lines++;
          }
        }
        way.drain(second * 1_000_000L + tenth * 100_000L);
      }
    }
    double took = (System.nanoTime() - start) / 1e9;
    bytes = THREADS.getThreadAllocatedBytes(Thread.currentThread().getId()) - bytes;
    if (say) {
      System.out.printf(
          "%s_rate %.0f lines/s%n%s_bytes %.1f bytes/line%n",
          name, lines / took, name, 1.0 * bytes / lines);
    }
  }
}
