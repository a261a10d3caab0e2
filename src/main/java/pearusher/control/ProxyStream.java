package pearusher.control;

/**
 * The connection over which a proxy receives updates. The event-loop thread or the store's thread
 * calls it; no method blocks.
 */
public interface ProxyStream {
  /** Queues an encoded message. */
  void send(byte[] message);

  /** A newer stream of the same proxy took the place of this one. */
  void onReplaced();

  /** Returns the position among all accepted connections: the higher of two is the newer. */
  default long acceptOrder() {
    return 0;
  }
}
