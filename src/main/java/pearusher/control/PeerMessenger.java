package pearusher.control;

/** Sends messages to other assigners. */
public interface PeerMessenger {
  /** The peer number that addresses all peers. */
  int ALL_PEERS = -1;

  /**
   * Sends a message; delivery is not guaranteed.
   *
   * @param peer the number of an assigner, or {@link #ALL_PEERS}
   */
  void send(int peer, byte[] body);
}
