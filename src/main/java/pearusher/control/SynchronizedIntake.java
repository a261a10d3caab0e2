package pearusher.control;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.tinylog.Logger;
import pearusher.intake.Intake;
import pearusher.intake.QueuedReport;

/**
 * The intake behind a lock: streams put reports in on their threads, the decision thread takes them
 * out. It says when a flood begins and ends. It must never hold the lock while the module works.
 */
public final class SynchronizedIntake {
  /** How long the decision thread sleeps at most while reports of a flood wait, in microseconds. */
  static final long SERVE_US = 20_000;

  /** Periods after which what came for a proxy is not told any more. */
  static final int OLD_USAGE_PERIODS = 2;

  private final Intake intake;
  private final List<QueuedReport> items = new ArrayList<>();

  public SynchronizedIntake(Intake.Bounds bounds) {
    intake =
        new Intake(
            bounds,
            new Intake.Events() {
              @Override
              public void onOverloadStarted(int origin, double part) {
                Logger.warn(
                    "flood of reports: origin=\"{}\" part={}", name(origin), hundredths(part));
              }

              private long thinned;
              private long expired;

              @Override
              public void onExpired(QueuedReport item) {
                if (Long.bitCount(++expired) == 1) {
                  Logger.warn(
                      "reports expired: count={} origin=\"{}\"", expired, name(item.origin()));
                }
              }

              @Override
              public void onSampled(double kept, double error) {
                if (Long.bitCount(++thinned) == 1) {
                  Logger.warn(
                      "reports sampled: times={} kept={} error={}",
                      thinned,
                      hundredths(kept),
                      hundredths(error));
                }
              }

              @Override
              public void onOverloadEnded(long merged, long refused) {
                Logger.info("flood of reports over: merged={} refused={}", merged, refused);
              }
            });
  }

  private static String name(int origin) {
    return origin < 0 ? "collector " + -origin : "proxy " + origin;
  }

  private static double hundredths(double value) {
    return Math.round(100 * value) / 100.0;
  }

  /**
   * Takes a report; outside of a flood {@code wake} asks for its turn, in the order of the reports.
   */
  public void offer(QueuedReport item, Runnable wake) {
    synchronized (intake) {
      if (intake.offer(item) && !intake.isOverloaded()) {
        wake.run();
      }
    }
  }

  /** The oldest report, outside of a flood. */
  public void next(long nowUs, Consumer<QueuedReport> out) {
    take(() -> intake.pollOldest(nowUs, items::add), out);
  }

  /** In a flood: what is due. */
  public void serve(long nowUs, Consumer<QueuedReport> out) {
    take(() -> intake.serve(nowUs, items::add), out);
  }

  private void take(Runnable how, Consumer<QueuedReport> out) {
    synchronized (intake) {
      how.run();
    }
    items.forEach(out);
    items.clear();
  }

  public boolean flooded() {
    synchronized (intake) {
      return intake.isOverloaded();
    }
  }

  public int waiting() {
    synchronized (intake) {
      return intake.size();
    }
  }
}
