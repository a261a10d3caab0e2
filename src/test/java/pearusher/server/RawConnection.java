package pearusher.server;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import pearusher.Recorded;

/** A connection that keeps all bytes that it receives. */
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

  /** Returns what was received after the last call of {@link #awaitEnd}. */
  private String unconsumed() {
    return text().substring(consumedLength);
  }

  /** Waits until what was received after the last call ends with these bytes, and returns it. */
  String awaitEnd(String end) throws InterruptedException {
    TestPeers.awaitUntil(
        "bytes that end with " + Recorded.lines(end), () -> unconsumed().endsWith(end));
    String text = unconsumed();
    consumedLength += text.length();
    return text;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
