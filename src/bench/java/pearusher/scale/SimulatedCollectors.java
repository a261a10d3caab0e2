package pearusher.scale;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Simulated collectors of all zones that have proxies, with one connection per zone and assigner,
 * on one event loop. They report on all servers in turn, at a fixed rate to each assigner. Mean
 * response times have seeded noise. A report is counted and not sent while its connection is
 * closed, partitioned or backlogged.
 */
final class SimulatedCollectors implements AutoCloseable {
  private static final String LOAD = "inflight:7,util:0.61";
  private static final long TICK_NS = 10_000_000L;
  private static final long RECONNECT_DELAY_NS = 500_000_000L;
  private static final double MIN_MEAN_MS = 20;
  private static final double MEAN_SPREAD_MS = 40;

  /** The longest time span that a report may cover, in periods. */
  private static final int MAX_REPORT_PERIODS = 90;

  private final EventLoop loop = new EventLoop("collectors");
  private final CollectorWorkload workload;
  private final List<Target> targets = new ArrayList<>();
  private final SplittableRandom random;
  private volatile int[] servers;
  private boolean isReporting;
  private boolean isPartitioned;
  private volatile long reportsNotSent;
  private volatile String connectFailure;

  /** An assigner and the collectors' connections to it. */
  private final class Target {
    private final List<Link> links = new ArrayList<>();
    private long reportsSent;
    private double reportsDue;
    private long lastTickNs;

    Target(AssignerAddress assigner) {
      for (int zone = 0; zone < workload.zones(); zone++) {
        links.add(new Link(zone, assigner));
      }
    }

    void tick() {
      long nowNs = System.nanoTime();
      // Counts elapsed time instead of ticks: a stall of the loop must not reduce the reports.
      reportsDue += workload.reportsPerSecond() * (nowNs - lastTickNs) / 1e9;
      lastTickNs = nowNs;
      for (; reportsDue >= 1; reportsDue--) {
        sendNextReport();
      }
    }

    /**
     * Reports on the next pair of zone and server. As many reports as there are pairs cover each
     * pair once.
     */
    private void sendNextReport() {
      int count = servers.length;
      if (count == 0) {
        return;
      }
      int server = servers[(int) (reportsSent % count)];
      Link link = links.get((int) ((reportsSent / count + reportsSent) % workload.zones()));
      reportsSent++;
      link.sendReport(server, (double) count * workload.zones() / workload.reportsPerSecond());
    }
  }

  /** One collector's connection to one assigner. */
  private final class Link implements Connection.Handler {
    private final int zone;
    private final AssignerAddress assigner;
    private Connection connection;
    private boolean isConnected;

    Link(int zone, AssignerAddress assigner) {
      this.zone = zone;
      this.assigner = assigner;
    }

    void connect() {
      try {
        connection = loop.connect(assigner.address(), this);
      } catch (IOException e) {
        connectFailure = "collector: " + e.getMessage();
      }
    }

    @Override
    public void onOpened(Connection opened) {
      isConnected = true;
      connection.send(RespWriter.encode("collector", "zone", ServerCatalog.zoneName(zone)));
    }

    @Override
    public void onReceived(Connection from, ByteBuffer bytes) {}

    @Override
    public void onEnded(Connection from, IOException cause) {
      isConnected = false;
      loop.schedule(RECONNECT_DELAY_NS, this::connect);
    }

    // Only the event loop's thread writes the count.
    @SuppressWarnings("NonAtomicVolatileUpdate")
    void sendReport(int server, double cycleSeconds) {
      if (!isConnected || isPartitioned || connection.isBacklogged()) {
        reportsNotSent++;
        return;
      }
      double spanSeconds = Math.min(cycleSeconds, MAX_REPORT_PERIODS * workload.periodNs() / 1e9);
      long pairs = (long) servers.length * workload.zones();
      long attempts = Math.max(1, Math.round(workload.requestsPerSecond() * spanSeconds / pairs));
      String[] fields = {
        "heard",
        "zone",
        ServerCatalog.zoneName(zone),
        "server",
        ServerCatalog.serverName(server),
        "tries",
        Long.toString(attempts),
        "failed",
        "0",
        "mean_ms",
        RespWriter.formatTenths(meanMs(server)),
        "span_ms",
        RespWriter.formatTenths(1000 * spanSeconds),
        "load",
        LOAD
      };
      byte[] message =
          RespWriter.encode(
              workload.includesLoad() ? fields : Arrays.copyOf(fields, fields.length - 2));
      assigner.traffic().add(TrafficCounter.Kind.LOAD_REPORT, 1, message.length);
      connection.send(message);
    }
  }

  SimulatedCollectors(CollectorWorkload workload, List<AssignerAddress> assigners, int[] servers)
      throws IOException {
    this.workload = workload;
    this.servers = servers.clone();
    random = new SplittableRandom(workload.seed());
    for (AssignerAddress assigner : assigners) {
      targets.add(new Target(assigner));
    }
  }

  /** Returns the mean response time of a server with the noise of one report, in milliseconds. */
  private double meanMs(int server) {
    double share = new SplittableRandom(workload.seed() + server).nextDouble();
    double serverMeanMs = MIN_MEAN_MS + MEAN_SPREAD_MS * share;
    double noise = -2;
    for (int k = 0; k < 4; k++) {
      noise += random.nextDouble();
    }
    return serverMeanMs * Math.exp(workload.noise() * Math.sqrt(3) * noise);
  }

  void connect() {
    loop.execute(() -> targets.forEach(target -> target.links.forEach(Link::connect)));
    loop.scheduleAtFixedRate(
        TICK_NS,
        () -> {
          if (isReporting) {
            targets.forEach(Target::tick);
          }
        });
  }

  void setReporting(boolean reporting) {
    loop.execute(
        () -> {
          isReporting = reporting;
          targets.forEach(target -> target.lastTickNs = System.nanoTime());
        });
  }

  /** Replaces the servers on which collectors report. May be called from any thread. */
  void setServers(int[] inService) {
    servers = inService.clone();
  }

  /**
   * Starts or ends a network partition. Collectors send nothing during it, and their connections
   * are reset at its end.
   */
  void setPartitioned(boolean partitioned) {
    loop.execute(
        () -> {
          isPartitioned = partitioned;
          if (!partitioned) {
            targets.forEach(
                target ->
                    target.links.forEach(
                        link -> {
                          if (link.isConnected) {
                            link.connection.reset();
                            link.isConnected = false;
                            link.connect();
                          }
                        }));
          }
        });
  }

  /** Returns the number of reports that were due and could not be sent. */
  long reportsNotSent() {
    return reportsNotSent;
  }

  String connectFailure() {
    return connectFailure;
  }

  EventLoop loop() {
    return loop;
  }

  @Override
  public void close() {
    loop.close();
  }
}
