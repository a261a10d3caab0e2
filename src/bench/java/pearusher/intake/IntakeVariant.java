package pearusher.intake;

import java.util.function.Consumer;

/** The project's {@link Intake}. */
final class IntakeVariant implements ReportBuffer {
  private final Intake intake =
      new Intake(
          new Intake.Bounds(20_000, 5000, 1000, 2_000_000, 120_000_000, true, 1),
          new Intake.Events() {});
  private final Consumer<QueuedReport> delivery = this::deliver;
  private long deliveredAttempts;

  @Override
  public String name() {
    return "intake";
  }

  @Override
  public void offer(QueuedReport report) {
    intake.offer(report);
  }

  @Override
  public void drain(long nowUs) {
    while (!intake.isOverloaded() && intake.size() > 0) {
      intake.pollOldest(nowUs, delivery);
    }
    intake.serve(nowUs, delivery);
  }

  private void deliver(QueuedReport report) {
    deliveredAttempts += report.totals().attempts();
  }

  @Override
  public long deliveredAttempts() {
    return deliveredAttempts;
  }
}
