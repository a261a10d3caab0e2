package pearusher.control;

import pearusher.protocol.Message;

/** Receiver of the messages of proxies and collectors. Any thread may call it. */
public interface ProxyEvents {
  /** The origin of reports whose collector is not identified. */
  int ANONYMOUS_COLLECTOR = -1;

  /** Handles the join of a proxy, by which the stream identifies the proxy. */
  void onProxyJoined(ProxyStream stream, Message.ProxyJoin join);

  /** Handles the end of a stream; ignored if a newer stream of the proxy has replaced it. */
  void onStreamClosed(ProxyStream stream, int proxy);

  /** Handles the acknowledgement of an update. */
  void onAcknowledgement(ProxyStream stream, Message.Acknowledgement acknowledgement);

  /** Handles a load report from an unidentified collector. */
  default void onLoadReport(Message.LoadReport report) {
    onLoadReport(report, ANONYMOUS_COLLECTOR);
  }

  /**
   * Handles a report of attempts at a server. A report on an unlisted server is dropped: such
   * reports are expected, since the endpoint list of the proxies may be newer.
   *
   * @param origin the number of the proxy, or a negative number that identifies a collector
   */
  void onLoadReport(Message.LoadReport report, int origin);

  /** Handles a usage report whose origin is the reported proxy itself. */
  default void onUsageReport(Message.UsageReport report) {
    onUsageReport(report, report.proxy());
  }

  /**
   * Handles a report of requests that arrived at a proxy.
   *
   * @param origin the number of the proxy, or a negative number that identifies a collector
   */
  void onUsageReport(Message.UsageReport report, int origin);
}
