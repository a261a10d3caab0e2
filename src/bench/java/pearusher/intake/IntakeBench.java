package pearusher.intake;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.SplittableRandom;

/**
 * Measures reports per second on one core and bytes allocated per report, from the arrival of a
 * report to its delivery: the intake beside a plain queue and a merging map, at a normal rate and
 * in floods. Prints {@code name value unit} lines; any argument selects the short run.
 */
public final class IntakeBench {
  private static final int RELAYS = 500;
  private static final int SERVERS = 120;
  private static final int FIRST_SERVER = 0x5be2a000;
  private static final int MAX_ATTEMPTS = 60;
  private static final int DRAINS_PER_SECOND = 10;
  private static final int[] REPORTS_PER_RELAY = {1, 10, 100};
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
    // The first round lets the compiler warm up.
    long attempts = bench.runRound(false) + bench.runRound(true);
    System.out.println("heard " + attempts + " tries");
  }

  /** Runs all variants at all rates and returns the attempts that were delivered. */
  private long runRound(boolean printed) {
    long attempts = 0;
    for (int reportsPerRelay : REPORTS_PER_RELAY) {
      attempts += run(new QueueVariant(), reportsPerRelay, printed);
      attempts += run(new MapVariant(), reportsPerRelay, printed);
      attempts += run(new IntakeVariant(), reportsPerRelay, printed);
    }
    return attempts;
  }

  /** Each relay reports once per second on some servers. */
  private long run(ReportBuffer buffer, int reportsPerRelay, boolean printed) {
    SplittableRandom random = new SplittableRandom(1);
    int seconds = Math.max(minSeconds, reportSeconds / reportsPerRelay);
    long reports = 0;
    long allocatedBefore = allocatedBytes();
    long startNs = System.nanoTime();
    for (int second = 0; second < seconds; second++) {
      for (int part = 0; part < DRAINS_PER_SECOND; part++) {
        for (int relay = part; relay < RELAYS; relay += DRAINS_PER_SECOND) {
          offerReports(buffer, relay, reportsPerRelay, random);
          reports += reportsPerRelay;
        }
        buffer.drain(second * 1_000_000L + part * 100_000L);
      }
    }
    double elapsedSeconds = (System.nanoTime() - startNs) / 1e9;
    long allocated = allocatedBytes() - allocatedBefore;
    if (printed) {
      String name = buffer.name() + "_" + reportsPerRelay;
      System.out.printf("%s_rate %.0f lines/s%n", name, reports / elapsedSeconds);
      System.out.printf("%s_bytes %.1f bytes/line%n", name, 1.0 * allocated / reports);
    }
    return buffer.deliveredAttempts();
  }

  private void offerReports(
      ReportBuffer buffer, int relay, int reportsPerRelay, SplittableRandom random) {
    for (int k = 0; k < reportsPerRelay; k++) {
      String server = serverNames[(relay * 7 + k) % SERVERS];
      int attempts = 1 + random.nextInt(MAX_ATTEMPTS);
      buffer.offer(
          new QueuedReport(
              relay,
              new QueuedReport.ServerAttempts(server, 0),
              ReportTotals.of(attempts, 0, 40_000, 1_000_000, NO_LOAD)));
    }
  }

  private static long allocatedBytes() {
    return THREADS.getThreadAllocatedBytes(Thread.currentThread().getId());
  }
}
