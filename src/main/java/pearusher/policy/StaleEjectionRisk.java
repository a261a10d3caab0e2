package pearusher.policy;

/**
 * Set of the proxies that may still exclude a server because of an ejection unknown to this
 * instance. A proxy at risk gets a reinstatement together with the server's table entry.
 */
enum StaleEjectionRisk {
  NONE,
  UNCONFIRMED_PROXIES,
  ALL_PROXIES;

  boolean affects(ProxyState proxy) {
    return this == ALL_PROXIES || (this == UNCONFIRMED_PROXIES && !proxy.confirmed);
  }

  boolean exceeds(StaleEjectionRisk other) {
    return compareTo(other) > 0;
  }
}
