package pearusher.server;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import pearusher.Recorded;

/** Connection that records all received bytes. */
final class RawConnection implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 5000;

  private final Socket socket = new Socket();
  private final ByteArrayOutputStream received = new ByteArrayOutputStream();
  private int consumedLength;

  RawConnection(InetSocketAddress address) throws IOException {
    socket.connect(address, CONNECT_TIMEOUT_MS);
    Thread reader = new Thread(this::read);
    reader.setDaemon(true);
    reader.start();
  }

  private void read() {
    try {
      byte[] buffer = new byte[4096];
      for (int count = socket.getInputStream().read(buffer);
          count >= 0;
          count = socket.getInputStream().read(buffer)) {
        synchronized (received) {
          received.write(buffer, 0, count);
        }
      }
    } catch (IOException closed) {
      return;
    }
  }

  void send(String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
    socket.getOutputStream().flush();
  }

  String text() {
    synchronized (received) {
      return received.toString(StandardCharsets.US_ASCII);
    }
  }

  /** Returns the bytes received since the last call of {@link #awaitEnd}. */
  private String unconsumed() {
    return text().substring(consumedLength);
  }

  /** Waits until the bytes since the last call end with the given ones. Returns these bytes. */
  String awaitEnd(String end) throws InterruptedException {
    TestPeers.awaitUntil(
        "received bytes ending with " + Recorded.lines(end), () -> unconsumed().endsWith(end));
    String text = unconsumed();
    consumedLength += text.length();
    return text;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
