package pearusher.control;

/** The way to other assigners; peer -1: all. */
public interface PeerMessenger {
  void send(int peer, byte[] body);
}
