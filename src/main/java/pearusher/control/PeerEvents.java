package pearusher.control;

/** What other assigners send to the controller. Any thread may call it. */
public interface PeerEvents {
  /** A message of another assigner arrived. */
  void onPeerMessage(int peer, byte[] body);
}
