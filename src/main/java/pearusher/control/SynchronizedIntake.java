package pearusher.control;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import pearusher.intake.Intake;
import pearusher.intake.QueuedReport;

/**
 * An intake behind a lock: connections add reports on their threads, the event-loop thread takes
 * them out. The lock is not held while reports are delivered. It grows with the reports that wait,
 * within the bounds of the intake.
 */
public final class SynchronizedIntake {
  private final Object lock = new Object();

  /** Guarded by the lock. */
  private final Intake intake;

  /** Reports on their way from the intake to the consumer; event-loop thread only. */
  private final List<QueuedReport> polled = new ArrayList<>();

  /** Makes an empty intake that logs when it is overloaded. */
  public SynchronizedIntake(Intake.Bounds bounds) {
    intake = new Intake(bounds, new IntakeEventLog());
  }

  /**
   * Adds a report.
   *
   * @param announce called if the report was queued and the intake is not overloaded, in the order
   *     of the reports; it must lead to one {@link #pollOldest}
   */
  public void offer(QueuedReport report, Runnable announce) {
    synchronized (lock) {
      if (intake.offer(report) && !intake.isOverloaded()) {
        announce.run();
      }
    }
  }

  /** Hands over the oldest report, unless the intake is overloaded. */
  public void pollOldest(long nowUs, Consumer<QueuedReport> consumer) {
    synchronized (lock) {
      intake.pollOldest(nowUs, polled::add);
    }
    deliver(consumer);
  }

  /** Hands over the reports that are due while the intake is overloaded. */
  public void pollDue(long nowUs, Consumer<QueuedReport> consumer) {
    synchronized (lock) {
      intake.serve(nowUs, polled::add);
    }
    deliver(consumer);
  }

  private void deliver(Consumer<QueuedReport> consumer) {
    polled.forEach(consumer);
    polled.clear();
  }

  /** Whether more reports wait than the policy can take at once. */
  public boolean isOverloaded() {
    synchronized (lock) {
      return intake.isOverloaded();
    }
  }

  /** Returns the number of reports that wait. */
  public int size() {
    synchronized (lock) {
      return intake.size();
    }
  }
}
