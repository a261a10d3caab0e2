import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicInteger;

/** A server: answers requests after a service time, and probes. */
final class Task {
  private static final int SERVICE_MS = 20;

  final String id;
  final String zone;
  final int cell;

  /** Unix time of the last start, in milliseconds; 0: long ago. */
  long startedAtMs;

  final AtomicInteger ran = new AtomicInteger();
  private final AtomicInteger inflight = new AtomicInteger();
  private final ExecutorService threads;
  private HttpServer server;

  Task(String id, String zone, int cell, long startedAtMs, ExecutorService threads)
      throws IOException {
    this.id = id;
    this.zone = zone;
    this.cell = cell;
    this.startedAtMs = startedAtMs;
    this.threads = threads;
    listen();
  }

  private void listen() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
    server.setExecutor(threads);
    server.createContext("/work", this::work);
    server.createContext("/ping", exchange -> answer(exchange, ""));
    server.createContext(
        "/_load", exchange -> answer(exchange, "TEXT inflight=" + inflight + ", util=0.30"));
    server.start();
  }

  private void work(HttpExchange exchange) throws IOException {
    inflight.incrementAndGet();
    try {
      Thread.sleep(SERVICE_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    inflight.decrementAndGet();
    ran.incrementAndGet();
    answer(exchange, "done");
  }

  private static void answer(HttpExchange exchange, String text) throws IOException {
    byte[] body = text.getBytes();
    exchange.sendResponseHeaders(200, body.length == 0 ? -1 : body.length);
    if (body.length > 0) {
      exchange.getResponseBody().write(body);
    }
    exchange.close();
  }

  String hostPort() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Starts the process of the server again, under its id, at an address of its own. */
  synchronized void restart() throws IOException {
    listen();
    startedAtMs = System.currentTimeMillis();
  }

  /** Ends the process of the server: new connections are refused. */
  void stop() {
    server.stop(0);
  }

  /** Returns the entry of the endpoint list. */
  String entry(String lifecycle) {
    return "{\"instanceId\":\""
        + id
        + "\",\"hostPort\":\""
        + hostPort()
        + "\",\"zone\":\""
        + zone
        + "\",\"machineType\":\"m\",\"cell\":"
        + cell
        + ",\"lifecycle\":\""
        + lifecycle
        + "\",\"weight\":1.0,\"startedAtMs\":"
        + startedAtMs
        + "}";
  }
}
