package pearusher.protocol;

/**
 * A message from a proxy or a collector to the assigner. Servers are identified by their ids;
 * proxies, zones and request classes by their index in the settings. All messages are immutable.
 */
public sealed interface Message {
  /** Request for a pong, which the assigner sends once it is ready. */
  record Ping() implements Message {}

  /**
   * Identification of a connection as that of a collector.
   *
   * @param zone the zone whose load reports the collector forwards
   */
  record CollectorHello(int zone) implements Message {}

  /**
   * Identification of a connection as the stream of a proxy.
   *
   * @param proxy the proxy that joins
   * @param zone the zone of the proxy
   * @param requestsPerSecond a rough estimate of the proxy's request rate
   * @param fresh true if the proxy has no table from an assigner
   */
  record ProxyJoin(int proxy, int zone, double requestsPerSecond, boolean fresh)
      implements Message {}

  /**
   * Acknowledgement that a proxy has applied all updates up to an acknowledgement number.
   *
   * @param proxy the proxy that acknowledges
   * @param number the acknowledgement number from the update
   * @param tookUs the time that the proxy took to apply the updates, in microseconds
   */
  record Acknowledgement(int proxy, int number, long tookUs) implements Message {}

  /**
   * Report on the attempts of a zone's proxies at one server.
   *
   * @param zone the zone of the proxies
   * @param server the id of the server
   * @param attempts the number of attempts
   * @param failed the number of failed attempts
   * @param meanUs the mean response time of successful attempts in microseconds; 0 if all failed
   * @param spanUs the length of the reported period in microseconds
   * @param load the server's last load report, in the order of the metrics in the settings, or
   *     empty
   */
  record LoadReport(
      int zone, String server, long attempts, long failed, long meanUs, long spanUs, float[] load)
      implements Message {}

  /**
   * Report on the requests of one class that a proxy received.
   *
   * @param proxy the proxy
   * @param requestClass the index of the request class
   * @param requests the number of requests received
   * @param failed the number of admitted requests that failed; it may exceed {@code requests},
   *     since it includes requests received in an earlier period
   * @param spanUs the length of the reported period in microseconds
   */
  record UsageReport(int proxy, int requestClass, long requests, long failed, long spanUs)
      implements Message {}
}
