package pearusher.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * A client that sends one message on a new connection, waits for the first byte of the answer, and
 * begins again. It measures the waits, from connecting on.
 */
final class RepeatedExchange implements AutoCloseable {
  private static final int TIMEOUT_MS = 20_000;
  private static final long INTERVAL_MS = 50;
  private static final double NS_PER_MS = 1e6;

  private final InetSocketAddress address;
  private final byte[] message;
  private final Thread thread = new Thread(this::exchangeUntilStopped, "exchange");
  private final List<Double> waitsMs = new CopyOnWriteArrayList<>();
  private final List<String> failures = new CopyOnWriteArrayList<>();
  private volatile boolean stopped;

  RepeatedExchange(InetSocketAddress address, String words) {
    this.address = address;
    message = RespWriter.encodeWords(words);
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  private void exchangeUntilStopped() {
    while (!stopped) {
      try {
        exchange();
        TimeUnit.MILLISECONDS.sleep(INTERVAL_MS);
      } catch (IOException e) {
        failures.add(e.toString());
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void exchange() throws IOException {
    long startNs = System.nanoTime();
    try (Socket socket = new Socket()) {
      socket.connect(address, TIMEOUT_MS);
      socket.setSoTimeout(TIMEOUT_MS);
      socket.getOutputStream().write(message);
      if (socket.getInputStream().read() < 0) {
        throw new IOException("closed without an answer");
      }
      waitsMs.add((System.nanoTime() - startNs) / NS_PER_MS);
    }
  }

  /** Stops after the exchange under way. */
  void stop() throws InterruptedException {
    stopped = true;
    thread.join(TIMEOUT_MS);
  }

  int count() {
    return waitsMs.size();
  }

  double longestMs() {
    return waitsMs.stream().mapToDouble(wait -> wait).max().orElse(0);
  }

  /** Returns the causes for which exchanges got no answer. */
  List<String> failures() {
    return failures;
  }

  @Override
  public void close() {
    stopped = true;
    thread.interrupt();
  }
}
