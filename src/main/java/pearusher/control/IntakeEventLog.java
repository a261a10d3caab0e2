package pearusher.control;

import org.tinylog.Logger;
import pearusher.intake.Intake;
import pearusher.intake.QueuedReport;
import pearusher.logging.RepeatedEvent;

/** Logs the overloads of the intake and the resulting loss of reports. Its size is constant. */
final class IntakeEventLog implements Intake.Events {
  private final RepeatedEvent samplings = new RepeatedEvent();
  private final RepeatedEvent expiredReports = new RepeatedEvent();

  @Override
  public void onOverloadStarted(int origin, double share) {
    Logger.warn(
        "report overload started: origin=\"{}\" share={}", describe(origin), hundredths(share));
  }

  @Override
  public void onSampled(double keptShare, double error) {
    samplings.record(
        count ->
            Logger.warn(
                "reports sampled: times={} kept={} error={}",
                count,
                hundredths(keptShare),
                hundredths(error)));
  }

  @Override
  public void onExpired(QueuedReport report) {
    expiredReports.record(
        count ->
            Logger.warn(
                "reports expired: count={} origin=\"{}\"", count, describe(report.origin())));
  }

  @Override
  public void onOverloadEnded(long merged, long refused) {
    Logger.info("report overload ended: merged={} refused={}", merged, refused);
  }

  private static String describe(int origin) {
    return origin < 0 ? "collector " + -origin : "proxy " + origin;
  }

  private static double hundredths(double value) {
    return Math.round(100 * value) / 100.0;
  }
}
