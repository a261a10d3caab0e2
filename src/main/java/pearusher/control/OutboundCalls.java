package pearusher.control;

/** The client side. */
public interface OutboundCalls {
  void watch(boolean on, long since);

  void fetch();

  void probe(long server, String hostPort);
}
