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
 * A stand-in of discovery: the whole list, watches with changes, heartbeat lines. Each list and
 * each change is encoded once and shared by all watchers; all of it runs on one loop, which owns
 * the catalog.
 */
final class SimulatedDiscovery implements AutoCloseable {
  static final long BEAT_NS = 2_000_000_000L;
  private static final byte[] BEAT = chunk(new byte[0]);
  private static final byte[] WATCH_HEAD =
      ascii(
          "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
              + "Transfer-Encoding: chunked\r\n\r\n");
  private static final String SINCE = "since=";

  /** A change as it was told: the generation that it made and the servers that it names. */
  private record Change(long generation, List<Integer> servers) {}

  private final EventLoop loop = new EventLoop("discovery");
  private final ServerCatalog catalog;
  private final List<Change> changes = new ArrayList<>();
  private final Set<Watch> watches = new LinkedHashSet<>();
  private final Set<Connection> open = new LinkedHashSet<>();
  private byte[] wholeChunk;
  private long wholeGeneration = -1;
  private volatile long lastBeatNs = System.nanoTime();
  private boolean cut;

  /** One connection, first a request, then perhaps a watch. */
  private final class Watch implements Connection.Handler {
    private final StringBuilder request = new StringBuilder();
    private final TrafficCounter traffic;
    private Connection connection;

    Watch(TrafficCounter traffic) {
      this.traffic = traffic;
    }

    @Override
    public void opened(Connection made) {
      connection = made;
      open.add(made);
      if (cut) {
        made.silent(true);
      }
    }

    @Override
    public void received(Connection from, ByteBuffer bytes) {
      request.append(StandardCharsets.US_ASCII.decode(bytes));
      int end = request.indexOf("\r\n\r\n");
      if (end >= 0) {
        String head = request.substring(0, end);
        request.setLength(0);
        answer(head);
      }
    }

    private void answer(String head) {
      String path = head.substring(0, head.indexOf("\r\n"));
      if (!path.contains("follow=1")) {
        byte[] body = catalog.whole();
        connection.send(
            ascii(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                    + body.length
                    + "\r\n\r\n"));
        connection.send(body);
        traffic.add(TrafficCounter.Kind.LIST_WHOLE, 1, body.length);
        return;
      }
      connection.send(WATCH_HEAD);
      long since = since(path);
      boolean recent =
          since >= catalog.generation() - changes.size() && since <= catalog.generation();
      if (since > 0 && recent) {
        tell(chunk(catalog.changes(changedAfter(since))), TrafficCounter.Kind.LIST_CHANGE);
      } else {
        tell(whole(), TrafficCounter.Kind.LIST_WHOLE);
      }
      watches.add(this);
    }

    void tell(byte[] chunk, TrafficCounter.Kind kind) {
      connection.send(ByteBuffer.wrap(chunk));
      traffic.add(kind, 1, chunk.length);
    }

    @Override
    public void ended(Connection from, IOException why) {
      watches.remove(this);
      open.remove(from);
    }
  }

  SimulatedDiscovery(ServerCatalog catalog) throws IOException {
    this.catalog = catalog;
    loop.every(BEAT_NS, this::beat);
  }

  /** An address of its own for whoever's bytes are counted together. */
  InetSocketAddress listen(TrafficCounter traffic) throws IOException {
    return loop.listen(connection -> new Watch(traffic));
  }

  EventLoop loop() {
    return loop;
  }

  /** Watches that are open now; from any thread. */
  int watching() throws InterruptedException {
    int[] out = new int[1];
    loop.executeAndWait(() -> out[0] = watches.size());
    return out[0];
  }

  /** When the last heartbeat was told. */
  long lastBeatNs() {
    return lastBeatNs;
  }

  /** Tells a change that has been made in the catalog. On the loop's thread. */
  void changed(List<Integer> servers) {
    catalog.nextGeneration();
    changes.add(new Change(catalog.generation(), List.copyOf(servers)));
    tellAll(chunk(catalog.changes(servers)), TrafficCounter.Kind.LIST_CHANGE);
  }

  /** From now on nothing is read or written; at the end of the cut all connections are reset. */
  void cut(boolean begins) {
    cut = begins;
    for (Connection connection : List.copyOf(open)) {
      if (begins) {
        connection.silent(true);
      } else {
        connection.reset();
      }
    }
    if (!begins) {
      open.clear();
      watches.clear();
    }
  }

  private void beat() {
    lastBeatNs = System.nanoTime();
    tellAll(BEAT, TrafficCounter.Kind.LIST_BEAT);
  }

  /** During a cut nothing leaves, so nothing is counted. */
  private void tellAll(byte[] chunk, TrafficCounter.Kind kind) {
    if (!cut) {
      for (Watch watch : List.copyOf(watches)) {
        watch.tell(chunk, kind);
      }
    }
  }

  private byte[] whole() {
    if (wholeGeneration != catalog.generation()) {
      wholeChunk = chunk(catalog.whole());
      wholeGeneration = catalog.generation();
    }
    return wholeChunk;
  }

  private List<Integer> changedAfter(long since) {
    Set<Integer> out = new LinkedHashSet<>();
    for (Change change : changes) {
      if (change.generation() > since) {
        out.addAll(change.servers());
      }
    }
    return List.copyOf(out);
  }

  private static long since(String path) {
    int at = path.indexOf(SINCE);
    int end = path.indexOf(' ', at);
    return at < 0 ? 0 : Long.parseLong(path.substring(at + SINCE.length(), end));
  }

  /** One line as a chunk of HTTP. */
  private static byte[] chunk(byte[] line) {
    byte[] head = ascii(Integer.toHexString(line.length + 1) + "\r\n");
    byte[] tail = ascii("\n\r\n");
    ByteBuffer out = ByteBuffer.allocate(head.length + line.length + tail.length);
    return out.put(head).put(line).put(tail).array();
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  @Override
  public void close() {
    loop.close();
  }
}
