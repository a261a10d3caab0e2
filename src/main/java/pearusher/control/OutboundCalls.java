package pearusher.control;

/** Outbound calls to discovery and servers. Results are reported to {@link DiscoveryEvents}. */
public interface OutboundCalls {
  /**
   * Starts a watch of the endpoint list, replacing a running watch, or stops the running watch.
   *
   * @param isOn whether to start a watch, otherwise the running watch is stopped
   * @param sinceGeneration the generation of the list in force; the watch reports later changes
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
