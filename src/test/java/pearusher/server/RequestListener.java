package pearusher.server;

import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** HTTP listener that records the header sections of received requests. */
final class RequestListener implements AutoCloseable {
  private static final int TIMEOUT_SECONDS = 20;

  private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final LinkedBlockingQueue<String> heads = new LinkedBlockingQueue<>();
  private final LinkedBlockingQueue<Socket> sockets = new LinkedBlockingQueue<>();

  RequestListener() throws IOException {
    Thread acceptor = new Thread(this::acceptUntilClosed);
    acceptor.setDaemon(true);
    acceptor.start();
  }

  private void acceptUntilClosed() {
    try {
      while (true) {
        Socket socket = server.accept();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
          int next = socket.getInputStream().read();
          if (next < 0) {
            break;
          }
          head.append((char) next);
        }
        sockets.add(socket);
        heads.add(head.toString().replace(":" + server.getLocalPort(), ":PORT"));
      }
    } catch (IOException closed) {
      return;
    }
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Waits for the next request. Returns its escaped bytes, one header per line. */
  String awaitRequest() throws InterruptedException {
    String head = heads.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    if (head == null) {
      fail("no HTTP request received within 20 s");
    }
    return head.replace("\r", "\\r").replace("\n", "\\n\n");
  }

  /** Returns the connections of the requests in the order of their arrival, one per call. */
  Socket nextConnection() throws InterruptedException {
    return sockets.take();
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
