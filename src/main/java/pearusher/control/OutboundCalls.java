package pearusher.control;

/** Calls to discovery and to servers; results come back as {@link DiscoveryEvents}. */
public interface OutboundCalls {
  /**
   * Starts a watch of the endpoint list in place of a running one, or stops it.
   *
   * @param isOn whether to watch
   * @param sinceGeneration the version after which changes are wanted
   */
  void watchEndpoints(boolean isOn, long sinceGeneration);

  /** Requests the complete endpoint list once. */
  void fetchEndpoints();

  /**
   * Sends a health check.
   *
   * @param hostPort the server's address, or null if none is listed
   */
  void checkHealth(long server, String hostPort);
}
