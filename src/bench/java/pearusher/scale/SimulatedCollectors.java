package pearusher.scale;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Collectors of the zones that have proxies, a connection for each zone and assigner, all on one
 * loop. They report on all servers in turn, so many lines a second to each assigner; means are
 * noisy, by the seed. A line that its connection has no room for is not sent and counted: no figure
 * is given for it.
 */
final class SimulatedCollectors implements AutoCloseable {
  private static final String LOAD = "inflight:7,util:0.61";
  private static final long TICK_NS = 10_000_000L;
  private static final long REDIAL_NS = 500_000_000L;
  private static final double LEAST_MEAN_MS = 20;
  private static final double MEAN_SPREAD_MS = 40;

  /** No report may cover more than so many periods. */
  private static final int MOST_PERIODS = 90;

  /** What collectors say: lines a second to each assigner, and what share of a mean is noise. */
  record Shape(
      int zones,
      double linesPerS,
      double noise,
      boolean load,
      double requestsPerS,
      long periodNs,
      long seed) {}

  private final EventLoop loop = new EventLoop("collectors");
  private final Shape shape;
  private final List<Target> targets = new ArrayList<>();
  private final SplittableRandom random;
  private volatile int[] servers;
  private boolean reporting;
  private boolean cut;
  private volatile long notSent;
  private volatile String fault;

  /** An assigner with its collectors' connections. */
  private final class Target {
    private final List<Link> links = new ArrayList<>();
    private long said;
    private double due;
    private long lastNs;

    Target(AssignerAddress assigner) {
      for (int zone = 0; zone < shape.zones(); zone++) {
        links.add(new Link(zone, assigner));
      }
    }

    void tick() {
      long now = System.nanoTime();
      // By the clock, not by ticks: a stall of the loop must not make the lines fewer.
      due += shape.linesPerS() * (now - lastNs) / 1e9;
      lastNs = now;
      for (; due >= 1; due--) {
        line();
      }
    }

    /**
     * The next pair of zone and server; after as many lines as there are pairs all had their turn.
     */
    private void line() {
      int count = servers.length;
      if (count == 0) {
        return;
      }
      int server = servers[(int) (said % count)];
      Link link = links.get((int) ((said / count + said) % shape.zones()));
      said++;
      link.heard(server, (double) count * shape.zones() / shape.linesPerS());
    }
  }

  /** One collector's connection to one assigner. */
  private final class Link implements Connection.Handler {
    private final int zone;
    private final AssignerAddress assigner;
    private Connection connection;
    private boolean up;

    Link(int zone, AssignerAddress assigner) {
      this.zone = zone;
      this.assigner = assigner;
    }

    void dial() {
      try {
        connection = loop.dial(assigner.address(), this);
      } catch (IOException e) {
        fault = "collector: " + e.getMessage();
      }
    }

    @Override
    public void opened(Connection made) {
      up = true;
      connection.send(RespWriter.message("collector", "zone", ServerCatalog.zoneName(zone)));
    }

    @Override
    public void received(Connection from, ByteBuffer bytes) {}

    @Override
    public void ended(Connection from, IOException why) {
      up = false;
      loop.schedule(REDIAL_NS, this::dial);
    }

    // Only the loop writes the count.
    @SuppressWarnings("NonAtomicVolatileUpdate")
    void heard(int server, double turnS) {
      if (!up || cut || connection.backlogged()) {
        notSent++;
        return;
      }
      double spanS = Math.min(turnS, MOST_PERIODS * shape.periodNs() / 1e9);
      long pairs = (long) servers.length * shape.zones();
      long tries = Math.max(1, Math.round(shape.requestsPerS() * spanS / pairs));
      String[] words = {
        "heard",
        "zone",
        ServerCatalog.zoneName(zone),
        "server",
        ServerCatalog.name(server),
        "tries",
        Long.toString(tries),
        "failed",
        "0",
        "mean_ms",
        RespWriter.tenths(mean(server)),
        "span_ms",
        RespWriter.tenths(1000 * spanS),
        "load",
        LOAD
      };
      byte[] message =
          RespWriter.message(shape.load() ? words : Arrays.copyOf(words, words.length - 2));
      assigner.traffic().add(TrafficCounter.Kind.HEARD, 1, message.length);
      connection.send(message);
    }
  }

  SimulatedCollectors(Shape shape, List<AssignerAddress> assigners, int[] servers)
      throws IOException {
    this.shape = shape;
    this.servers = servers.clone();
    random = new SplittableRandom(shape.seed());
    for (AssignerAddress one : assigners) {
      targets.add(new Target(one));
    }
  }

  /** A server's own mean, by its number, with the noise of this report. */
  private double mean(int server) {
    double part = new SplittableRandom(shape.seed() + server).nextDouble();
    double own = LEAST_MEAN_MS + MEAN_SPREAD_MS * part;
    double normal = -2;
    for (int k = 0; k < 4; k++) {
      normal += random.nextDouble();
    }
    return own * Math.exp(shape.noise() * Math.sqrt(3) * normal);
  }

  void connect() {
    loop.execute(() -> targets.forEach(target -> target.links.forEach(Link::dial)));
    loop.every(
        TICK_NS,
        () -> {
          if (reporting) {
            targets.forEach(Target::tick);
          }
        });
  }

  void report(boolean on) {
    loop.execute(
        () -> {
          reporting = on;
          targets.forEach(target -> target.lastNs = System.nanoTime());
        });
  }

  /** The servers that have traffic from now on. */
  void servers(int[] now) {
    servers = now.clone();
  }

  /** Collectors say nothing during a cut; their connections stay, and are reset at its end. */
  void cut(boolean begins) {
    loop.execute(
        () -> {
          cut = begins;
          if (!begins) {
            targets.forEach(
                target ->
                    target.links.forEach(
                        link -> {
                          if (link.up) {
                            link.connection.reset();
                            link.up = false;
                            link.dial();
                          }
                        }));
          }
        });
  }

  /** Lines that were due and not sent, since an assigner took no more or was away. */
  long notSent() {
    return notSent;
  }

  String fault() {
    return fault;
  }

  EventLoop loop() {
    return loop;
  }

  @Override
  public void close() {
    loop.close();
  }
}
