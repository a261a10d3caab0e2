package pearusher.control;

import pearusher.protocol.Message;

/** What proxies and collectors send to the controller. Any thread may call it. */
public interface ProxyEvents {
  /** Stands for a collector that is not told apart from others. */
  int ANONYMOUS_COLLECTOR = -1;

  /** A stream identified its proxy. */
  void onProxyJoined(ProxyStream stream, Message.ProxyJoin join);

  /** The stream of a proxy ended; ignored if a newer stream of the proxy took its place. */
  void onStreamClosed(ProxyStream stream, int proxy);

  /** A proxy acknowledged an update. */
  void onAcknowledgement(ProxyStream stream, Message.Acknowledgement acknowledgement);

  /** As {@link #onLoadReport(Message.LoadReport, int)}, from a collector. */
  default void onLoadReport(Message.LoadReport report) {
    onLoadReport(report, ANONYMOUS_COLLECTOR);
  }

  /**
   * Attempts at a server were reported. A report on a server that is not listed is dropped: the
   * list of the proxies may be newer.
   *
   * @param origin the number of the proxy, or a negative number that identifies a collector
   */
  void onLoadReport(Message.LoadReport report, int origin);

  /** As {@link #onUsageReport(Message.UsageReport, int)}, from the proxy itself. */
  default void onUsageReport(Message.UsageReport report) {
    onUsageReport(report, report.proxy());
  }

  /**
   * Requests that arrived at a proxy were reported.
   *
   * @param origin as in {@link #onLoadReport(Message.LoadReport, int)}
   */
  void onUsageReport(Message.UsageReport report, int origin);
}
