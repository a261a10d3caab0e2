package pearusher.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A simulated discovery service, which serves the endpoint list and watches with changes and
 * heartbeats. Each list and each change is encoded once and shared by all watches. Runs on one
 * event loop, which owns the catalog. Grows with the watches and the changes of a run.
 */
final class SimulatedDiscovery implements AutoCloseable {
  static final long HEARTBEAT_INTERVAL_NS = 2_000_000_000L;
  private static final byte[] HEARTBEAT_CHUNK = chunk(new byte[0]);
  private static final byte[] WATCH_RESPONSE_HEAD =
      ascii(
          "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
              + "Transfer-Encoding: chunked\r\n\r\n");
  private static final String SINCE_PARAMETER = "since=";

  /** A published change: its generation and the changed servers. */
  private record Change(long generation, List<Integer> servers) {}

  private final EventLoop loop = new EventLoop("discovery");
  private final ServerCatalog catalog;
  private final List<Change> changes = new ArrayList<>();
  private final Set<Watch> watches = new LinkedHashSet<>();
  private final Set<Connection> openConnections = new LinkedHashSet<>();
  private byte[] fullListChunk;
  private long fullListGeneration = -1;
  private volatile long lastHeartbeatNs = System.nanoTime();
  private boolean isPartitioned;

  /** A connection, which becomes a watch when it requests one. */
  private final class Watch implements Connection.Handler {
    private final StringBuilder request = new StringBuilder();
    private final TrafficCounter traffic;
    private Connection connection;

    Watch(TrafficCounter traffic) {
      this.traffic = traffic;
    }

    @Override
    public void onOpened(Connection opened) {
      connection = opened;
      openConnections.add(opened);
      if (isPartitioned) {
        opened.setSuspended(true);
      }
    }

    @Override
    public void onReceived(Connection from, ByteBuffer bytes) {
      request.append(StandardCharsets.US_ASCII.decode(bytes));
      int end = request.indexOf("\r\n\r\n");
      if (end >= 0) {
        String head = request.substring(0, end);
        request.setLength(0);
        respond(head);
      }
    }

    private void respond(String requestHead) {
      String requestLine = requestHead.substring(0, requestHead.indexOf("\r\n"));
      if (!requestLine.contains("follow=1")) {
        byte[] body = catalog.encodeFullList();
        connection.send(
            ascii(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                    + body.length
                    + "\r\n\r\n"));
        connection.send(body);
        traffic.add(TrafficCounter.Kind.FULL_LIST, 1, body.length);
        return;
      }
      connection.send(WATCH_RESPONSE_HEAD);
      long sinceGeneration = sinceGeneration(requestLine);
      boolean isRecent =
          sinceGeneration >= catalog.generation() - changes.size()
              && sinceGeneration <= catalog.generation();
      if (sinceGeneration > 0 && isRecent) {
        send(
            chunk(catalog.encodeChanges(changedAfter(sinceGeneration))),
            TrafficCounter.Kind.LIST_CHANGE);
      } else {
        send(fullList(), TrafficCounter.Kind.FULL_LIST);
      }
      watches.add(this);
    }

    void send(byte[] chunk, TrafficCounter.Kind kind) {
      connection.send(ByteBuffer.wrap(chunk));
      traffic.add(kind, 1, chunk.length);
    }

    @Override
    public void onEnded(Connection from, IOException cause) {
      watches.remove(this);
      openConnections.remove(from);
    }
  }

  SimulatedDiscovery(ServerCatalog catalog) throws IOException {
    this.catalog = catalog;
    loop.scheduleAtFixedRate(HEARTBEAT_INTERVAL_NS, this::sendHeartbeat);
  }

  /** Listens on another address, whose traffic is counted separately. */
  InetSocketAddress listen(TrafficCounter traffic) throws IOException {
    return loop.listen(connection -> new Watch(traffic));
  }

  EventLoop loop() {
    return loop;
  }

  /** Returns the number of open watches. May be called from any thread. */
  int watchCount() throws InterruptedException {
    return loop.call(watches::size);
  }

  /** Returns the value of {@link System#nanoTime} when the last heartbeat was sent. */
  long lastHeartbeatNs() {
    return lastHeartbeatNs;
  }

  /** Publishes a change of the catalog. Must be called on the loop's thread. */
  void publishChange(List<Integer> servers) {
    catalog.incrementGeneration();
    changes.add(new Change(catalog.generation(), List.copyOf(servers)));
    broadcast(chunk(catalog.encodeChanges(servers)), TrafficCounter.Kind.LIST_CHANGE);
  }

  /**
   * Starts a network partition by suspending all connections, or ends it by resetting them. Must be
   * called on the loop's thread.
   */
  void setPartitioned(boolean partitioned) {
    isPartitioned = partitioned;
    for (Connection connection : List.copyOf(openConnections)) {
      if (partitioned) {
        connection.setSuspended(true);
      } else {
        connection.reset();
      }
    }
    if (!partitioned) {
      openConnections.clear();
      watches.clear();
    }
  }

  private void sendHeartbeat() {
    lastHeartbeatNs = System.nanoTime();
    broadcast(HEARTBEAT_CHUNK, TrafficCounter.Kind.LIST_HEARTBEAT);
  }

  /** Sends a chunk to all watches. During a partition nothing is sent or counted. */
  private void broadcast(byte[] chunk, TrafficCounter.Kind kind) {
    if (!isPartitioned) {
      for (Watch watch : List.copyOf(watches)) {
        watch.send(chunk, kind);
      }
    }
  }

  private byte[] fullList() {
    if (fullListGeneration != catalog.generation()) {
      fullListChunk = chunk(catalog.encodeFullList());
      fullListGeneration = catalog.generation();
    }
    return fullListChunk;
  }

  private List<Integer> changedAfter(long since) {
    Set<Integer> serversChanged = new LinkedHashSet<>();
    for (Change change : changes) {
      if (change.generation() > since) {
        serversChanged.addAll(change.servers());
      }
    }
    return List.copyOf(serversChanged);
  }

  private static long sinceGeneration(String requestLine) {
    int at = requestLine.indexOf(SINCE_PARAMETER);
    int end = requestLine.indexOf(' ', at);
    return at < 0 ? 0 : Long.parseLong(requestLine.substring(at + SINCE_PARAMETER.length(), end));
  }

  /** Encodes one list event as an HTTP chunk. */
  private static byte[] chunk(byte[] line) {
    byte[] head = ascii(Integer.toHexString(line.length + 1) + "\r\n");
    byte[] tail = ascii("\n\r\n");
    ByteBuffer encoded = ByteBuffer.allocate(head.length + line.length + tail.length);
    return encoded.put(head).put(line).put(tail).array();
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  @Override
  public void close() {
    loop.close();
  }
}
