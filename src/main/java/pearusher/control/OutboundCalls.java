package pearusher.control;

/** The client side. */
public interface OutboundCalls {
  void watchEndpoints(boolean on, long since);

  void fetchEndpoints();

  void checkHealth(long server, String hostPort);
}
