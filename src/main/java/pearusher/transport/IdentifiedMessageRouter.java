package pearusher.transport;

import pearusher.control.ProxyEvents;
import pearusher.control.ProxyStream;
import pearusher.protocol.MalformedMessageException;
import pearusher.protocol.Message;

/**
 * Passes the messages of identified peers to the controller, and rejects those that their sender
 * may not send. Immutable; any thread may use it.
 *
 * @param controller receives the messages
 * @param collectorSource source number of a collector's reports for fair queueing; a proxy uses its
 *     own number
 */
record IdentifiedMessageRouter(ProxyEvents controller, int collectorSource) {
  /**
   * Passes on one message.
   *
   * @param stream the connection on which the message arrived
   * @throws MalformedMessageException if the sender may not send the message
   */
  void route(ProxyStream stream, PeerIdentity sender, Message message)
      throws MalformedMessageException {
    if (message instanceof Message.Acknowledgement ack && sender.isProxy(ack.proxy())) {
      controller.onAcknowledgement(stream, ack);
    } else if (message instanceof Message.LoadReport report && sender.isCollector()) {
      controller.onLoadReport(report, collectorSource);
    } else if (message instanceof Message.UsageReport usage && sender.isCollector()) {
      controller.onUsageReport(usage, collectorSource);
    } else if (message instanceof Message.UsageReport usage && sender.isProxy(usage.proxy())) {
      controller.onUsageReport(usage, usage.proxy());
    } else {
      throw new MalformedMessageException("message is not allowed from this sender: " + message);
    }
  }
}
