package pearusher.scale;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * Sends an assigner what it must drop: a datagram of a stranger, a malformed message of a proxy and
 * bytes that are no message. Shows that the drops of a build can be seen in its log, so that no
 * drop is more than silence. Used by one thread; of constant size.
 */
final class DropProbe {
  /** The lines that a log gets by one probe. */
  static final int LINES = 3;

  private static final int CONNECT_TIMEOUT_MS = 2_000;

  private DropProbe() {}

  /** Sends all three and leaves the assigner a moment to log them. */
  static void send(InetSocketAddress listen, InetSocketAddress peerListen, int unusedProxy)
      throws IOException, InterruptedException {
    byte[] bytes = {'?', '\r', '\n'};
    try (DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      stranger.send(new DatagramPacket(bytes, bytes.length, peerListen));
    }
    try (Socket stranger = connect(listen);
        Socket proxy = connect(listen)) {
      stranger.getOutputStream().write(bytes);
      proxy.getOutputStream().write(ProxyMessages.joined(unusedProxy, 0, 1, true));
      proxy.getOutputStream().write(RespWriter.encode("applied", "proxy", "no-number"));
      Thread.sleep(500);
    }
  }

  private static Socket connect(InetSocketAddress address) throws IOException {
    Socket socket = new Socket();
    socket.connect(address, CONNECT_TIMEOUT_MS);
    return socket;
  }
}
