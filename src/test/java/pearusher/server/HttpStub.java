package pearusher.server;

import static org.junit.jupiter.api.Assertions.fail;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** HTTP stub of discovery or of a server: accepts requests, to which the test responds. */
public final class HttpStub implements AutoCloseable {
  private static final int BACKLOG = 50;
  private static final int REQUEST_TIMEOUT_SECONDS = 20;

  private final ServerSocket server;
  final LinkedBlockingQueue<StubRequest> requests = new LinkedBlockingQueue<>();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  public HttpStub() throws IOException {
    server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    Thread acceptor = new Thread(this::acceptUntilClosed);
    acceptor.setDaemon(true);
    acceptor.start();
  }

  private void acceptUntilClosed() {
    try {
      while (true) {
        Socket socket = server.accept();
        sockets.add(socket);
        String head = readHead(socket.getInputStream());
        if (head.startsWith("GET ") && head.contains("\r\nHost: ")) {
          requests.add(new StubRequest(head.split(" ")[1], socket));
        }
      }
    } catch (IOException closed) {
      return;
    }
  }

  private static String readHead(InputStream input) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
      int next = input.read();
      if (next < 0) {
        break;
      }
      head.write(next);
    }
    return head.toString(StandardCharsets.ISO_8859_1);
  }

  public String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Waits for the next request; fails the test after 20 s. */
  public StubRequest awaitRequest() throws InterruptedException {
    StubRequest request = requests.poll(REQUEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    if (request == null) {
      fail("no HTTP request received within 20 s");
    }
    return request;
  }

  @Override
  public void close() throws IOException {
    refuseConnections();
  }

  /** Closes all connections and the listening socket, so that new connections are refused. */
  void refuseConnections() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
