package pearusher.protocol;

/**
 * A message that a proxy or a collector sends to the assigner. Servers are named by their ids;
 * proxies, zones and request classes by their index in the settings. All messages are immutable.
 */
public sealed interface Message {
  /** Asks whether the assigner is ready. */
  record Ping() implements Message {}

  /**
   * Identifies a connection as that of a collector.
   *
   * @param zone the zone whose load reports it forwards
   */
  record CollectorHello(int zone) implements Message {}

  /**
   * Identifies a connection as the stream of a proxy.
   *
   * @param proxy the proxy that joins
   * @param zone the zone of the proxy
   * @param requestsPerSecond a rough estimate of its request rate
   * @param fresh whether it holds no table that an assigner sent
   */
  record ProxyJoin(int proxy, int zone, double requestsPerSecond, boolean fresh)
      implements Message {}

  /**
   * Acknowledges that all updates up to a number were applied.
   *
   * @param proxy the proxy that acknowledges
   * @param number the acknowledgement number that the assigner requested
   * @param tookUs how long that took, in microseconds
   */
  record Acknowledgement(int proxy, int number, long tookUs) implements Message {}

  /**
   * What the proxies of a zone experienced at one server.
   *
   * @param zone the zone of the proxies
   * @param server the id of the server
   * @param attempts the number of attempts
   * @param failed the number of attempts that failed
   * @param meanUs the mean response time of the others in microseconds, 0 if there are none
   * @param spanUs the period covered, in microseconds
   * @param load the server's last load report in the order of the settings' metrics, or empty
   */
  record LoadReport(
      int zone, String server, long attempts, long failed, long meanUs, long spanUs, float[] load)
      implements Message {}

  /**
   * The requests of one class that a proxy received.
   *
   * @param proxy the proxy
   * @param requestClass the class of the requests
   * @param requests the number of requests
   * @param failed the number of admitted requests that failed; those of an earlier period count
   *     too, so that it may exceed {@code requests}
   * @param spanUs the period covered, in microseconds
   */
  record UsageReport(int proxy, int requestClass, long requests, long failed, long spanUs)
      implements Message {}
}
