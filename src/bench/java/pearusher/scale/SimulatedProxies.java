package pearusher.scale;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * Proxies that join, answer marks and send usage, all on one loop. Of a table a proxy keeps a bit a
 * server and class: enough to tell when a server that drains is let go.
 */
final class SimulatedProxies implements AutoCloseable {
  private static final int DIGITS = 3;
  private static final int SLICES = 20;
  private static final long REDIAL_NS = 200_000_000L;
  private static final double TOOK_OF_DELAY = 0.9;
  private static final byte[] UPDATE = UpdateFieldReader.bytes("update");
  private static final byte[] CLASSES = UpdateFieldReader.bytes("classes");
  private static final byte[] WHOLE = UpdateFieldReader.bytes("whole");
  private static final byte[] LINES = UpdateFieldReader.bytes("lines");
  private static final byte[] OUT = UpdateFieldReader.bytes("out");
  private static final byte[] BACK = UpdateFieldReader.bytes("back");
  private static final byte[] TICKET = UpdateFieldReader.bytes("ticket");
  private static final byte[] MORE = UpdateFieldReader.bytes("more");

  /** What proxies are like. */
  record Shape(
      int proxies, int zones, int classes, double requestsPerS, long applyNs, long periodNs) {}

  private final EventLoop loop = new EventLoop("proxies");
  private final Shape shape;
  private final List<AssignerAddress> assigners;
  private final List<Proxy> proxies = new ArrayList<>();
  private final DrainTimer drains = new DrainTimer();
  private final Histogram bindUs = new Histogram(DIGITS);
  private final Histogram bindBytes = new Histogram(DIGITS);
  private final int allClasses;
  private int bound;
  private int streamsEnded;
  private int slice;
  private boolean cut;
  private boolean stopping;
  private String fault;

  /** One proxy and its stream. */
  private final class Proxy implements Connection.Handler {
    private final int number;
    private final int zone;
    private int home;
    private boolean fresh = true;
    private Connection connection;
    private RespScanner scanner;
    private final BitSet[] held;
    private int boundClasses;
    private boolean isBound;
    private boolean lost;
    private boolean tableBegan;
    private long joinedNs;
    private long receivedBytes;

    Proxy(int number) {
      this.number = number;
      this.home = number % assigners.size();
      this.zone = number / assigners.size() % shape.zones();
      held = new BitSet[shape.classes()];
      for (int k = 0; k < held.length; k++) {
        held[k] = new BitSet();
      }
    }

    void dial() {
      if (stopping) {
        return;
      }
      try {
        connection = loop.dial(assigners.get(home).address(), this);
      } catch (IOException e) {
        fault = "proxy " + number + ": " + e.getMessage();
      }
    }

    @Override
    public void opened(Connection made) {
      scanner = new RespScanner();
      boundClasses = 0;
      receivedBytes = 0;
      joinedNs = System.nanoTime();
      byte[] message =
          RespWriter.message(
              "joined",
              "proxy",
              Integer.toString(number),
              "zone",
              ServerCatalog.zoneName(zone),
              "weight",
              RespWriter.tenths(shape.requestsPerS() * shape.classes()),
              "fresh",
              fresh ? "1" : "0");
      send(TrafficCounter.Kind.JOINED, message);
    }

    private void send(TrafficCounter.Kind kind, byte[] message) {
      traffic().add(kind, 1, message.length);
      connection.send(message);
    }

    private TrafficCounter traffic() {
      return assigners.get(home).traffic();
    }

    @Override
    public void received(Connection from, ByteBuffer bytes) {
      receivedBytes += bytes.remaining();
      scanner.take(bytes, this::update);
    }

    private void update(RespScanner.View view) {
      if (!view.is(0, UPDATE)) {
        return;
      }
      boolean last = view.value(MORE) < 0;
      traffic().add(TrafficCounter.Kind.ORDER, last ? 1 : 0, view.size());
      int classes = UpdateFieldReader.classes(view, view.value(CLASSES), allClasses);
      if (view.value(WHOLE) >= 0) {
        startTable(classes);
      }
      int lines = view.value(LINES);
      if (lines >= 0) {
        int count =
            UpdateFieldReader.lines(view, lines, (server, zero) -> line(server, zero, classes));
        traffic().add(TrafficCounter.Kind.ORDER_LINE, count, view.length(lines));
      }
      int out = view.value(OUT);
      if (out >= 0) {
        int count = UpdateFieldReader.names(view, out, server -> line(server, true, allClasses));
        traffic().add(TrafficCounter.Kind.ORDER_OUT, count, view.length(out));
      }
      int back = view.value(BACK);
      if (back >= 0) {
        traffic()
            .add(
                TrafficCounter.Kind.ORDER_BACK,
                UpdateFieldReader.names(view, back, server -> {}),
                view.length(back));
      }
      int ticket = view.value(TICKET);
      if (ticket >= 0) {
        answer(view.text(ticket));
      }
      tableBegan |= view.value(WHOLE) >= 0;
      if (last && tableBegan) {
        tableBegan = false;
        drains.recheck(number, this::holds, System.nanoTime());
      }
      if (last && boundClasses == allClasses && !isBound) {
        bound();
      }
    }

    /**
     * Servers that a new whole table does not name are found gone when its lines have been read.
     */
    private void startTable(int classes) {
      boundClasses |= classes;
      fresh = false;
      for (int k = 0; k < held.length; k++) {
        if ((classes & 1 << k) != 0) {
          held[k].clear();
        }
      }
    }

    private void line(int server, boolean zero, int classes) {
      for (int k = 0; k < held.length; k++) {
        if ((classes & 1 << k) != 0) {
          held[k].set(server, !zero);
        }
      }
      if (zero && !drains.idle() && !holds(server)) {
        drains.released(server, number, System.nanoTime());
      }
    }

    boolean holds(int server) {
      for (BitSet one : held) {
        if (one.get(server)) {
          return true;
        }
      }
      return false;
    }

    private void answer(String mark) {
      Connection on = connection;
      loop.schedule(
          shape.applyNs(),
          () -> {
            if (on == connection && on.open()) {
              String tookMs = RespWriter.tenths(TOOK_OF_DELAY * shape.applyNs() / 1e6);
              send(
                  TrafficCounter.Kind.APPLIED,
                  RespWriter.message(
                      "applied",
                      "proxy",
                      Integer.toString(number),
                      "mark",
                      mark,
                      "took_ms",
                      tookMs));
            }
          });
    }

    private void bound() {
      isBound = true;
      bound++;
      bindUs.recordValue((System.nanoTime() - joinedNs) / 1000);
      bindBytes.recordValue(receivedBytes);
    }

    void usage() {
      if (connection == null || !connection.open() || !isBound || cut) {
        return;
      }
      long tries = Math.round(shape.requestsPerS() * shape.periodNs() / 1e9);
      for (int k = 0; k < shape.classes(); k++) {
        send(
            TrafficCounter.Kind.USAGE,
            RespWriter.message(
                "usage",
                "proxy",
                Integer.toString(number),
                "class",
                UpdateFieldReader.className(k),
                "tries",
                Long.toString(tries),
                "failed",
                "0",
                "span_ms",
                RespWriter.tenths(shape.periodNs() / 1e6)));
      }
    }

    /** Goes to the next assigner, after a while. */
    @Override
    public void ended(Connection from, IOException why) {
      streamsEnded += from == connection && scanner != null ? 1 : 0;
      leave();
      home = (home + 1) % assigners.size();
      if (!lost) {
        loop.schedule(REDIAL_NS, this::dial);
      }
    }

    void leave() {
      bound -= isBound ? 1 : 0;
      isBound = false;
      scanner = null;
      drains.left(number);
    }

    void lose() {
      lost = true;
      if (connection != null) {
        connection.reset();
      }
      leave();
    }
  }

  SimulatedProxies(Shape shape, List<AssignerAddress> assigners) throws IOException {
    this.shape = shape;
    this.assigners = List.copyOf(assigners);
    allClasses = (1 << shape.classes()) - 1;
    for (int number = 0; number < shape.proxies(); number++) {
      proxies.add(new Proxy(number));
    }
  }

  void join() {
    loop.execute(() -> proxies.forEach(Proxy::dial));
    loop.every(shape.periodNs() / SLICES, this::usageOfSlice);
  }

  private void usageOfSlice() {
    slice = (slice + 1) % SLICES;
    for (int k = slice; k < proxies.size(); k += SLICES) {
      proxies.get(k).usage();
    }
  }

  /**
   * A server is about to be told as draining: from now on it is watched until all have let it go.
   */
  void drains(int server) {
    loop.execute(
        () -> {
          BitSet holders = new BitSet();
          for (Proxy proxy : proxies) {
            holders.set(proxy.number, proxy.isBound && proxy.holds(server));
          }
          drains.start(server, holders, System.nanoTime());
        });
  }

  /** Proxies that are bound to an assigner, by its place in the list. */
  int boundAt(int assigner) throws InterruptedException {
    int[] out = new int[1];
    loop.executeAndWait(
        () ->
            out[0] =
                (int)
                    proxies.stream()
                        .filter(proxy -> proxy.isBound && proxy.home == assigner)
                        .count());
    return out[0];
  }

  /** All proxies of a zone vanish. */
  void loseZone(int zone) {
    loop.execute(() -> proxies.stream().filter(p -> p.zone == zone).forEach(Proxy::lose));
  }

  void returnZone(int zone) {
    loop.execute(
        () ->
            proxies.stream()
                .filter(p -> p.zone == zone && p.lost)
                .forEach(
                    proxy -> {
                      proxy.lost = false;
                      proxy.fresh = true;
                      proxy.dial();
                    }));
  }

  /**
   * From now on proxies are silent; at the end of the cut their streams are reset and they dial
   * anew.
   */
  void cut(boolean begins) {
    loop.execute(
        () -> {
          cut = begins;
          for (Proxy proxy : proxies) {
            if (proxy.connection == null || !proxy.connection.open()) {
              continue;
            }
            if (begins) {
              proxy.connection.silent(true);
            } else {
              proxy.connection.reset();
              proxy.leave();
              proxy.dial();
            }
          }
        });
  }

  /** What proxies have measured up to now. */
  record Figures(
      int bound,
      int streamsEnded,
      int drainsUnfinished,
      Histogram bindUs,
      Histogram bindBytes,
      Histogram drainPerProxyUs,
      Histogram drainEverywhereUs,
      String fault) {}

  Figures figures() throws InterruptedException {
    Figures[] out = new Figures[1];
    loop.executeAndWait(
        () ->
            out[0] =
                new Figures(
                    bound,
                    streamsEnded,
                    drains.unfinished(),
                    bindUs.copy(),
                    bindBytes.copy(),
                    drains.perProxyUs().copy(),
                    drains.everywhereUs().copy(),
                    fault));
    return out[0];
  }

  EventLoop loop() {
    return loop;
  }

  @Override
  public void close() {
    loop.execute(() -> stopping = true);
    loop.close();
  }
}
