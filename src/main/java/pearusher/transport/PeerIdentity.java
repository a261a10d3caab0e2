package pearusher.transport;

/**
 * Identity that the peer of a connection has declared.
 *
 * @param role the role of the peer
 * @param proxy the number of the proxy, or {@link #NO_PROXY} if the peer is not a proxy
 */
record PeerIdentity(Role role, int proxy) {
  enum Role {
    UNIDENTIFIED,
    COLLECTOR,
    PROXY
  }

  private static final int NO_PROXY = -1;

  static final PeerIdentity UNIDENTIFIED = new PeerIdentity(Role.UNIDENTIFIED, NO_PROXY);
  static final PeerIdentity COLLECTOR = new PeerIdentity(Role.COLLECTOR, NO_PROXY);

  static PeerIdentity ofProxy(int proxy) {
    return new PeerIdentity(Role.PROXY, proxy);
  }

  boolean isProxy() {
    return role == Role.PROXY;
  }

  boolean isProxy(int number) {
    return isProxy() && proxy == number;
  }

  boolean isCollector() {
    return role == Role.COLLECTOR;
  }

  /** Returns the description of the peer for log lines. */
  String describe() {
    return switch (role) {
      case UNIDENTIFIED -> "an unidentified peer";
      case COLLECTOR -> "a collector";
      case PROXY -> "proxy " + proxy;
    };
  }
}
