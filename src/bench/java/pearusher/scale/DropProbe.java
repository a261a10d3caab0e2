package pearusher.scale;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * Sends an assigner three inputs that it must drop: a datagram of an unknown sender, a malformed
 * message of a proxy, and bytes that are not a message. Their log lines show that the build logs
 * drops, so that the absence of such lines elsewhere means that nothing was dropped.
 * Single-threaded, of constant size.
 */
final class DropProbe {
  /** The number of log lines that one probe causes. */
  static final int LINES = 3;

  private static final int CONNECT_TIMEOUT_MS = 2_000;
  private static final long LOG_WAIT_MS = 500;

  private DropProbe() {}

  /** Sends all three inputs and waits for the assigner to log them. */
  static void send(InetSocketAddress listen, InetSocketAddress peerListen, int unusedProxy)
      throws IOException, InterruptedException {
    byte[] bytes = {'?', '\r', '\n'};
    try (DatagramSocket unknownSender = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      unknownSender.send(new DatagramPacket(bytes, bytes.length, peerListen));
    }
    try (Socket unidentified = connect(listen);
        Socket proxy = connect(listen)) {
      unidentified.getOutputStream().write(bytes);
      proxy.getOutputStream().write(ProxyMessages.joined(unusedProxy, 0, 1, true));
      proxy.getOutputStream().write(RespWriter.encode("applied", "proxy", "no-number"));
      Thread.sleep(LOG_WAIT_MS);
    }
  }

  private static Socket connect(InetSocketAddress address) throws IOException {
    Socket socket = new Socket();
    socket.connect(address, CONNECT_TIMEOUT_MS);
    return socket;
  }
}
