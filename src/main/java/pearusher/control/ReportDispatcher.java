package pearusher.control;

import pearusher.protocol.Message;

/** Accepts reports on any thread and delivers them to the policy on the event-loop thread. */
interface ReportDispatcher {
  /** Accepts a load report; see {@link ProxyEvents#onLoadReport(Message.LoadReport, int)}. */
  void onLoadReport(Message.LoadReport report, int origin);

  /** Accepts a usage report; see {@link ProxyEvents#onUsageReport(Message.UsageReport, int)}. */
  void onUsageReport(Message.UsageReport report, int origin);

  /** Returns whether reports are queued without a corresponding event of the event loop. */
  boolean isOverloaded();

  /**
   * Delivers the due reports among those queued without a corresponding event; called on the
   * event-loop thread.
   */
  void deliverQueuedReports();
}
