package pearusher.scale;

/** Encodes the messages that a simulated proxy sends to its assigner. */
final class ProxyMessages {
  /**
   * The share of the delay before an acknowledgement that a proxy reports as the time to apply the
   * update.
   */
  private static final double REPORTED_DELAY_SHARE = 0.9;

  private static final double NS_PER_MS = 1e6;

  private ProxyMessages() {}

  /**
   * Encodes the registration of a proxy.
   *
   * @param isFresh whether the proxy has no table yet
   */
  static byte[] joined(int proxy, int zone, double requestsPerSecond, boolean isFresh) {
    return RespWriter.encode(
        "joined",
        "proxy",
        Integer.toString(proxy),
        "zone",
        ServerCatalog.zoneName(zone),
        "weight",
        RespWriter.formatTenths(requestsPerSecond),
        "fresh",
        isFresh ? "1" : "0");
  }

  /** Encodes the acknowledgement of the update with a mark. */
  static byte[] applied(int proxy, String mark, long applyDelayNs) {
    return RespWriter.encode(
        "applied",
        "proxy",
        Integer.toString(proxy),
        "mark",
        mark,
        "took_ms",
        RespWriter.formatTenths(REPORTED_DELAY_SHARE * applyDelayNs / NS_PER_MS));
  }

  /** Encodes a usage report without failures. */
  static byte[] usage(int proxy, int requestClass, long attempts, long spanNs) {
    return RespWriter.encode(
        "usage",
        "proxy",
        Integer.toString(proxy),
        "class",
        UpdateFieldReader.className(requestClass),
        "tries",
        Long.toString(attempts),
        "failed",
        "0",
        "span_ms",
        RespWriter.formatTenths(spanNs / NS_PER_MS));
  }
}
