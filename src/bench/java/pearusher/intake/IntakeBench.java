package pearusher.intake;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.SplittableRandom;

/**
 * Compares the intake with a plain queue and a merging map, at a normal rate and at overload.
 * Measures the reports per second on one core and the bytes allocated per report, from the arrival
 * of a report to its delivery. Prints {@code name value unit} lines; any argument selects the short
 * run.
 */
public final class IntakeBench {
  private static final int ORIGINS = 500;
  private static final int SERVERS = 120;
  private static final int FIRST_SERVER = 0x5be2a000;
  private static final int MAX_ATTEMPTS = 60;
  private static final int DRAINS_PER_SECOND = 10;
  private static final int[] REPORTS_PER_ORIGIN = {1, 10, 100};
  private static final float[] NO_LOAD = new float[0];
  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  private final int reportSeconds;
  private final int minSeconds;
  private final String[] serverNames = new String[SERVERS];

  private IntakeBench(boolean quick) {
    reportSeconds = quick ? 20 : 100;
    minSeconds = quick ? 3 : 20;
    for (int k = 0; k < SERVERS; k++) {
      serverNames[k] = "s-" + Integer.toHexString(FIRST_SERVER + k);
    }
  }

  public static void main(String[] args) {
    IntakeBench bench = new IntakeBench(args.length > 0);
    // The first round warms up the JIT compiler.
    long attempts = bench.runRound(false) + bench.runRound(true);
    System.out.println("heard " + attempts + " tries");
  }

  /** Runs all variants at all rates and returns the number of attempts delivered. */
  private long runRound(boolean printed) {
    long attempts = 0;
    for (int reportsPerOrigin : REPORTS_PER_ORIGIN) {
      attempts += run(new QueueVariant(), reportsPerOrigin, printed);
      attempts += run(new MapVariant(), reportsPerOrigin, printed);
      attempts += run(new IntakeVariant(), reportsPerOrigin, printed);
    }
    return attempts;
  }

  /**
   * Measures one variant, to which each origin reports once per second on some servers. Returns the
   * number of attempts delivered.
   */
  private long run(ReportBuffer buffer, int reportsPerOrigin, boolean printed) {
    SplittableRandom random = new SplittableRandom(1);
    int seconds = Math.max(minSeconds, reportSeconds / reportsPerOrigin);
    long reports = 0;
    long allocatedBefore = allocatedBytes();
    long startNs = System.nanoTime();
    for (int second = 0; second < seconds; second++) {
      for (int drain = 0; drain < DRAINS_PER_SECOND; drain++) {
        for (int origin = drain; origin < ORIGINS; origin += DRAINS_PER_SECOND) {
          offerReports(buffer, origin, reportsPerOrigin, random);
          reports += reportsPerOrigin;
        }
        buffer.drain(second * 1_000_000L + drain * 100_000L);
      }
    }
    double elapsedSeconds = (System.nanoTime() - startNs) / 1e9;
    long allocated = allocatedBytes() - allocatedBefore;
    if (printed) {
      String name = buffer.name() + "_" + reportsPerOrigin;
      System.out.printf("%s_rate %.0f lines/s%n", name, reports / elapsedSeconds);
      System.out.printf("%s_bytes %.1f bytes/line%n", name, 1.0 * allocated / reports);
    }
    return buffer.deliveredAttempts();
  }

  private void offerReports(
      ReportBuffer buffer, int origin, int reportsPerOrigin, SplittableRandom random) {
    for (int k = 0; k < reportsPerOrigin; k++) {
      String server = serverNames[(origin * 7 + k) % SERVERS];
      int attempts = 1 + random.nextInt(MAX_ATTEMPTS);
      buffer.offer(
          new QueuedReport(
              origin,
              new QueuedReport.ServerAttempts(server, 0),
              ReportTotals.of(attempts, 0, 40_000, 1_000_000, NO_LOAD)));
    }
  }

  private static long allocatedBytes() {
    return THREADS.getThreadAllocatedBytes(Thread.currentThread().getId());
  }
}
