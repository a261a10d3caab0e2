package pearusher.control;

/**
 * The connection over which a proxy receives updates. The event-loop thread or the store's thread
 * calls its methods; none of them blocks.
 */
public interface ProxyStream {
  /** Queues an encoded message for sending. */
  void send(byte[] message);

  /** Handles the replacement of this stream by a newer stream of the same proxy. */
  void onReplaced();

  /**
   * Returns the position in the order of accepted connections; newer ones have higher positions.
   */
  default long acceptOrder() {
    return 0;
  }
}
