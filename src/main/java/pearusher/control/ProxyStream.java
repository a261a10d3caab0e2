package pearusher.control;

/** A proxy's stream, on the server side. Calls come from the decision thread and must not block. */
public interface ProxyStream {
  void send(byte[] message);

  /** A newer stream of the same proxy took its place. */
  void onReplaced();

  /** Its place among all connections taken: of two of a proxy the later one is the newer. */
  default long acceptOrder() {
    return 0;
  }
}
