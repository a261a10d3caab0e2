package pearusher.control;

/** Receiver of the messages of other assigners. Any thread may call it. */
public interface PeerEvents {
  /**
   * Handles a message of another assigner.
   *
   * @param peer the number of the assigner
   */
  void onPeerMessage(int peer, byte[] body);
}
