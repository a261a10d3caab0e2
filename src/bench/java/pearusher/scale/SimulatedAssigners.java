package pearusher.scale;

import java.io.IOException;
import java.math.BigDecimal;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Simulated assigners as proxies and collectors see them: they answer pings, take joinings, write a
 * table of all servers at each bind, changed lines at a given pace, and withdrawals; they decide
 * nothing and keep no reports. Each watches discovery like a real one. All run on one loop.
 */
final class SimulatedAssigners implements AutoCloseable {
  private static final byte[] PING = UpdateFieldReader.bytes("ping");
  private static final byte[] JOINED = UpdateFieldReader.bytes("joined");
  private static final byte[] PONG = RespWriter.message("pong");
  private static final double WEIGHT_SPREAD = 1;
  private static final int SLICES = 20;
  private static final int MOST_MARK = 65_535;

  /** How many there are, and what they write. */
  record Shape(
      int count, double updatesPerPeriod, double linesPerUpdate, long periodNs, long seed) {}

  private final EventLoop loop = new EventLoop("simulated-assigners");
  private final Shape shape;
  private final List<AssignerAddress> addresses = new ArrayList<>();
  private final List<SimulatedWatchers> watchers = new ArrayList<>();
  private final Set<Peer> proxies = new LinkedHashSet<>();
  private final SplittableRandom random;
  private final int[] servers;
  private int mark;
  private int joined;
  private int slice;

  /** Parts of lines that are left over from one update to the next. */
  private double linesDue;

  /** One connection: a proxy's stream, a collector, or a stranger. */
  private final class Peer implements Connection.Handler {
    private final RespScanner scanner = new RespScanner();
    private Connection connection;

    /** The slice of a period in which it is written to: a window has as many updates as another. */
    private int place;

    @Override
    public void received(Connection from, ByteBuffer bytes) {
      connection = from;
      scanner.take(bytes, this::message);
    }

    private void message(RespScanner.View view) {
      if (view.is(0, PING)) {
        connection.send(PONG);
      } else if (view.is(0, JOINED)) {
        place = joined++ % SLICES;
        proxies.add(this);
        connection.send(bind());
      }
    }

    @Override
    public void ended(Connection from, IOException why) {
      proxies.remove(this);
    }
  }

  SimulatedAssigners(Shape shape, SimulatedDiscovery discovery, int[] servers) throws IOException {
    this.shape = shape;
    this.servers = servers.clone();
    random = new SplittableRandom(shape.seed());
    for (int k = 0; k < shape.count(); k++) {
      TrafficCounter traffic = new TrafficCounter();
      addresses.add(new AssignerAddress(loop.listen(connection -> new Peer()), traffic));
      SimulatedWatchers watcher =
          new SimulatedWatchers(1, discovery.listen(traffic), new ChangeTimestamps());
      watchers.add(watcher);
      watcher.watch();
    }
    if (shape.updatesPerPeriod() > 0) {
      loop.every((long) (shape.periodNs() / shape.updatesPerPeriod() / SLICES), this::lines);
    }
  }

  List<AssignerAddress> addresses() {
    return List.copyOf(addresses);
  }

  private int nextMark() {
    mark = (mark + 1) % MOST_MARK;
    return mark;
  }

  private byte[] bind() {
    return RespWriter.message(
        "update",
        "whole",
        "1",
        "lines",
        table(servers.length, 0),
        "ticket",
        Integer.toString(nextMark()));
  }

  private void lines() {
    slice = (slice + 1) % SLICES;
    for (Peer proxy : List.copyOf(proxies)) {
      linesDue += proxy.place == slice ? shape.linesPerUpdate() : 0;
      int count = (int) linesDue;
      if (proxy.place == slice && count > 0) {
        linesDue -= count;
        proxy.connection.send(
            RespWriter.message(
                "update",
                "lines",
                table(count, WEIGHT_SPREAD),
                "ticket",
                Integer.toString(nextMark())));
      }
    }
  }

  /**
   * So many lines from a server drawn on: a real one's weights are even at first, and spread later.
   */
  private String table(int count, double spread) {
    StringBuilder out = new StringBuilder(22 * count);
    int first = count < servers.length ? random.nextInt(servers.length) : 0;
    for (int k = 0; k < count; k++) {
      out.append(k == 0 ? "" : ",")
          .append(ServerCatalog.name(servers[(first + k) % servers.length]))
          .append(':')
          .append(weight(spread));
    }
    return out.toString();
  }

  /** A share of one for each server, as text like a real one's: a float without an exponent. */
  private String weight(double spread) {
    float weight = (float) ((1 + spread * (random.nextDouble() - 0.5)) / servers.length);
    return new BigDecimal(Float.toString(weight)).toPlainString();
  }

  /** A server drains: every proxy hears so. */
  void drains(int server) {
    loop.execute(
        () -> {
          byte[] message =
              RespWriter.message(
                  "update",
                  "out",
                  ServerCatalog.name(server),
                  "ticket",
                  Integer.toString(nextMark()));
          for (Peer proxy : List.copyOf(proxies)) {
            proxy.connection.send(message);
          }
        });
  }

  EventLoop loop() {
    return loop;
  }

  @Override
  public void close() {
    watchers.forEach(SimulatedWatchers::close);
    loop.close();
  }
}
