package pearusher.control;

import java.util.function.Supplier;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.AttemptReport;
import pearusher.protocol.Message;

/**
 * Delivers each report to the policy as a separate event, through the bounded queue. Used by an
 * assigner without an intake. It is stateless.
 */
final class DirectReportDispatcher implements ReportDispatcher {
  private final EventLoop loop;
  private final BoundedReportQueue queue;
  private final ServerDirectory servers;
  private final Supplier<AssignmentPolicy> policy;

  DirectReportDispatcher(
      EventLoop loop,
      BoundedReportQueue queue,
      ServerDirectory servers,
      Supplier<AssignmentPolicy> policy) {
    this.loop = loop;
    this.queue = queue;
    this.servers = servers;
    this.policy = policy;
  }

  @Override
  public void onLoadReport(Message.LoadReport report, int origin) {
    queue.add(() -> servers.number(report.server()).ifPresent(server -> deliver(report, server)));
  }

  private void deliver(Message.LoadReport report, long server) {
    AttemptReport attempts =
        AttemptReport.ofSpanEndingNow(
            server,
            report.zone(),
            report.attempts(),
            report.failed(),
            report.spanUs(),
            report.meanUs(),
            report.load());
    policy.get().onLoadReport(loop.nowUs(), attempts);
  }

  @Override
  public void onUsageReport(Message.UsageReport report, int origin) {
    queue.add(() -> deliver(report));
  }

  private void deliver(Message.UsageReport report) {
    policy
        .get()
        .onUsageReport(
            loop.nowUs(),
            report.proxy(),
            report.requestClass(),
            report.requests(),
            report.failed(),
            report.spanUs());
  }

  @Override
  public boolean isOverloaded() {
    return false;
  }

  @Override
  public void deliverQueuedReports() {}
}
