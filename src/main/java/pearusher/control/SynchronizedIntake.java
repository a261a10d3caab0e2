package pearusher.control;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import pearusher.intake.Intake;
import pearusher.intake.QueuedReport;

/**
 * A thread-safe intake: connection threads add reports, and the event-loop thread polls them. A
 * lock guards the intake; it is not held while reports are delivered. The size grows with the
 * number of queued reports, within the bounds of the intake.
 */
public final class SynchronizedIntake {
  private final Object lock = new Object();

  private final Intake intake;

  /** Reports that were polled but not delivered yet; only the event-loop thread uses it. */
  private final List<QueuedReport> polled = new ArrayList<>();

  /** Creates an empty intake that logs its overloads. */
  public SynchronizedIntake(Intake.Bounds bounds) {
    intake = new Intake(bounds, new IntakeEventLog());
  }

  /**
   * Adds a report.
   *
   * @param queueDelivery called if the report was queued and the intake is not overloaded, in the
   *     order of the reports and with the lock held; each call must result in one call of {@link
   *     #pollOldest}
   */
  public void offer(QueuedReport report, Runnable queueDelivery) {
    synchronized (lock) {
      if (intake.offer(report) && !intake.isOverloaded()) {
        queueDelivery.run();
      }
    }
  }

  /** Delivers the oldest report to the consumer, unless the intake is overloaded. */
  public void pollOldest(long nowUs, Consumer<QueuedReport> consumer) {
    synchronized (lock) {
      intake.pollOldest(nowUs, polled::add);
    }
    deliver(consumer);
  }

  /** Delivers the due reports to the consumer if the intake is overloaded. */
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

  /** Returns whether the intake is in overload mode. */
  public boolean isOverloaded() {
    synchronized (lock) {
      return intake.isOverloaded();
    }
  }

  /** Returns the number of queued reports. */
  public int size() {
    synchronized (lock) {
      return intake.size();
    }
  }
}
