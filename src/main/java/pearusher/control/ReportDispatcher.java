package pearusher.control;

import pearusher.protocol.Message;

/** Takes reports from any thread to the policy on the event-loop thread. */
interface ReportDispatcher {
  /** Takes a load report; see {@link ProxyEvents#onLoadReport(Message.LoadReport, int)}. */
  void onLoadReport(Message.LoadReport report, int origin);

  /** Takes a usage report; see {@link ProxyEvents#onUsageReport(Message.UsageReport, int)}. */
  void onUsageReport(Message.UsageReport report, int origin);

  /** Whether reports wait that no event announces. */
  boolean isOverloaded();

  /** Hands the policy those of the unannounced reports that are due, on the event-loop thread. */
  void deliverDue();
}
