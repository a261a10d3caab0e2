package pearusher.control;

import java.util.function.Consumer;
import java.util.function.Supplier;
import pearusher.intake.QueuedReport;
import pearusher.intake.ReportTotals;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.AttemptReport;
import pearusher.protocol.Message;

/**
 * Queues reports in the intake, which merges and samples them under overload, and delivers the due
 * reports to the policy. Waiting reports are stored in the intake only.
 */
final class IntakeReportDispatcher implements ReportDispatcher {
  /** Usage reports older than this many control periods do not describe the current load. */
  private static final int MAX_USAGE_AGE_PERIODS = 2;

  private static final float[] NO_LOAD = {};

  private final EventLoop loop;
  private final SynchronizedIntake intake;
  private final ServerDirectory servers;
  private final Supplier<AssignmentPolicy> policy;
  private final long maxUsageAgeUs;

  private volatile Consumer<QueuedReport> listener = report -> {};

  IntakeReportDispatcher(
      EventLoop loop,
      SynchronizedIntake intake,
      ServerDirectory servers,
      Supplier<AssignmentPolicy> policy,
      long controlPeriodUs) {
    this.loop = loop;
    this.intake = intake;
    this.servers = servers;
    this.policy = policy;
    maxUsageAgeUs = MAX_USAGE_AGE_PERIODS * controlPeriodUs;
  }

  /** Sets the listener that is called with each delivered report, on the event-loop thread. */
  void setListener(Consumer<QueuedReport> listener) {
    this.listener = listener;
  }

  @Override
  public void onLoadReport(Message.LoadReport report, int origin) {
    ReportTotals totals =
        ReportTotals.of(
            report.attempts(), report.failed(), report.meanUs(), report.spanUs(), report.load());
    QueuedReport.Subject subject = new QueuedReport.ServerAttempts(report.server(), report.zone());
    intake.offer(new QueuedReport(origin, subject, totals), this::queueDelivery);
  }

  @Override
  public void onUsageReport(Message.UsageReport report, int origin) {
    // More requests may have failed than arrived in the span. The number of successes must not be
    // derived from the two, so the totals are created without a mean.
    ReportTotals totals =
        new ReportTotals(report.requests(), report.failed(), 0, report.spanUs(), 1, NO_LOAD, 0);
    QueuedReport.Subject subject =
        new QueuedReport.ProxyRequests(report.proxy(), report.requestClass());
    intake.offer(new QueuedReport(origin, subject, totals), this::queueDelivery);
  }

  private void queueDelivery() {
    loop.add(() -> intake.pollOldest(loop.nowUs(), this::deliver));
  }

  @Override
  public boolean isOverloaded() {
    return intake.isOverloaded();
  }

  @Override
  public void deliverQueuedReports() {
    intake.pollDue(loop.nowUs(), this::deliver);
  }

  private void deliver(QueuedReport report) {
    listener.accept(report);
    if (report.subject() instanceof QueuedReport.ProxyRequests requests) {
      deliver(report, requests);
    } else if (report.subject() instanceof QueuedReport.ServerAttempts attempts) {
      servers
          .number(attempts.server())
          .ifPresent(server -> deliver(report, server, attempts.zone()));
    }
  }

  private void deliver(QueuedReport report, QueuedReport.ProxyRequests requests) {
    if (report.ageUs() > maxUsageAgeUs) {
      return;
    }
    ReportTotals totals = report.totals();
    policy
        .get()
        .onUsageReport(
            loop.nowUs(),
            requests.proxy(),
            requests.requestClass(),
            totals.attempts(),
            totals.failed(),
            totals.spanUs());
  }

  private void deliver(QueuedReport report, long server, int zone) {
    ReportTotals totals = report.totals();
    AttemptReport attempts =
        new AttemptReport(
            server,
            zone,
            totals.attempts(),
            totals.failed(),
            totals.spanUs(),
            totals.meanUs(),
            totals.load(),
            report.ageUs());
    policy.get().onLoadReport(loop.nowUs(), attempts);
  }
}
