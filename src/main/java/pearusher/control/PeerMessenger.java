package pearusher.control;

/** Sends messages to other assigners. */
public interface PeerMessenger {
  /** Stands for all peers. */
  int ALL_PEERS = -1;

  /**
   * Sends a message, without a guarantee of delivery.
   *
   * @param peer the number of an assigner, or {@link #ALL_PEERS}
   */
  void send(int peer, byte[] body);
}
