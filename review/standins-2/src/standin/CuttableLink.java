package standin;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/**
 * The path between the assigner and discovery, which can be cut. While it is cut, open connections
 * stay open and silent and new ones do not come up: the listening socket accepts nothing, and its
 * short queue is filled. What was written meanwhile arrives after the cut.
 */
final class CuttableLink {
  private static final int FILLERS = 6;

  private final int targetPort;
  private final Record record;
  private final ServerSocket listening;
  private volatile boolean cut;

  CuttableLink(int targetPort, Record record) throws IOException {
    this.targetPort = targetPort;
    this.record = record;
    listening = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
    listening.setSoTimeout(20);
    Threads.start("link", this::acceptAll);
  }

  int port() {
    return listening.getLocalPort();
  }

  void setCut(boolean isCut) {
    cut = isCut;
    record.line(isCut ? "the path to discovery is cut" : "the path to discovery is back");
  }

  private void acceptAll() throws IOException, InterruptedException {
    List<Socket> fillers = new ArrayList<>();
    while (true) {
      if (cut) {
        fill(fillers);
        Thread.sleep(5);
        continue;
      }
      for (Socket filler : fillers) {
        filler.close();
      }
      fillers.clear();
      try {
        Socket client = listening.accept();
        Socket server = new Socket("127.0.0.1", targetPort);
        client.setTcpNoDelay(true);
        server.setTcpNoDelay(true);
        Threads.start("link-up", () -> copy(client, server));
        Threads.start("link-down", () -> copy(server, client));
      } catch (SocketTimeoutException e) {
        // Looks whether the path was cut.
      }
    }
  }

  private void fill(List<Socket> fillers) throws IOException {
    while (fillers.size() < FILLERS) {
      Socket filler = new Socket();
      fillers.add(filler);
      try {
        filler.connect(new InetSocketAddress("127.0.0.1", port()), 20);
      } catch (IOException e) {
        // The queue is full.
      }
    }
  }

  private void copy(Socket from, Socket to) throws IOException, InterruptedException {
    byte[] buffer = new byte[16 << 10];
    try (from;
        to) {
      InputStream in = from.getInputStream();
      int count = in.read(buffer);
      while (count >= 0) {
        awaitPath();
        to.getOutputStream().write(buffer, 0, count);
        count = in.read(buffer);
      }
      awaitPath();
    }
  }

  private void awaitPath() throws InterruptedException {
    while (cut) {
      Thread.sleep(2);
    }
  }
}
