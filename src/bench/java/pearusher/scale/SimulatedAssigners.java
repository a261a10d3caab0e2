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
 * Simulated assigners for proxies and collectors. They answer pings, send a table of all servers to
 * each joining proxy, and send weight changes at a fixed rate and ejections. They make no decisions
 * and discard reports. Each watches the endpoint list, as real assigners do. All run on one event
 * loop.
 */
final class SimulatedAssigners implements AutoCloseable {
  private static final byte[] PING = UpdateFieldReader.ascii("ping");
  private static final byte[] JOINED = UpdateFieldReader.ascii("joined");
  private static final byte[] PONG = RespWriter.encode("pong");
  private static final double WEIGHT_SPREAD = 1;
  private static final int SLICES_PER_PERIOD = 20;
  private static final int MARK_LIMIT = 65_535;

  private final EventLoop loop = new EventLoop("simulated-assigners");
  private final SimulatedAssignerWorkload workload;
  private final List<AssignerAddress> addresses = new ArrayList<>();
  private final List<SimulatedWatchers> watchers = new ArrayList<>();
  private final Set<Client> proxies = new LinkedHashSet<>();
  private final SplittableRandom random;
  private final int[] servers;
  private int lastMark;
  private int joinCount;
  private int slice;

  /** Weight entries that are due, including the fraction carried over to the next update. */
  private double entriesDue;

  /** A connection of a proxy, a collector or an unidentified client. */
  private final class Client implements Connection.Handler {
    private final RespScanner scanner = new RespScanner();
    private Connection connection;

    /** The slice of each period in which the proxy receives updates. */
    private int slice;

    @Override
    public void onReceived(Connection from, ByteBuffer bytes) {
      connection = from;
      scanner.feed(bytes, this::handle);
    }

    private void handle(RespScanner.View view) {
      if (view.fieldEquals(0, PING)) {
        connection.send(PONG);
      } else if (view.fieldEquals(0, JOINED)) {
        slice = joinCount++ % SLICES_PER_PERIOD;
        proxies.add(this);
        connection.send(encodeCompleteTable());
      }
    }

    @Override
    public void onEnded(Connection from, IOException cause) {
      proxies.remove(this);
    }
  }

  SimulatedAssigners(
      SimulatedAssignerWorkload workload, SimulatedDiscovery discovery, int[] servers)
      throws IOException {
    this.workload = workload;
    this.servers = servers.clone();
    random = new SplittableRandom(workload.seed());
    for (int k = 0; k < workload.count(); k++) {
      TrafficCounter traffic = new TrafficCounter();
      addresses.add(new AssignerAddress(loop.listen(connection -> new Client()), traffic));
      SimulatedWatchers watcher =
          new SimulatedWatchers(1, discovery.listen(traffic), new ChangeTimestamps());
      watchers.add(watcher);
      watcher.start();
    }
    if (workload.updatesPerPeriod() > 0) {
      loop.scheduleAtFixedRate(
          (long) (workload.periodNs() / workload.updatesPerPeriod() / SLICES_PER_PERIOD),
          this::sendWeightChanges);
    }
  }

  List<AssignerAddress> addresses() {
    return List.copyOf(addresses);
  }

  private int nextMark() {
    lastMark = (lastMark + 1) % MARK_LIMIT;
    return lastMark;
  }

  private byte[] encodeCompleteTable() {
    return RespWriter.encode(
        "update",
        "whole",
        "1",
        "lines",
        formatTable(servers.length, 0),
        "ticket",
        Integer.toString(nextMark()));
  }

  private void sendWeightChanges() {
    slice = (slice + 1) % SLICES_PER_PERIOD;
    for (Client proxy : List.copyOf(proxies)) {
      entriesDue += proxy.slice == slice ? workload.entriesPerUpdate() : 0;
      int count = (int) entriesDue;
      if (proxy.slice == slice && count > 0) {
        entriesDue -= count;
        proxy.connection.send(
            RespWriter.encode(
                "update",
                "lines",
                formatTable(count, WEIGHT_SPREAD),
                "ticket",
                Integer.toString(nextMark())));
      }
    }
  }

  /**
   * Formats consecutive servers with weights. The weights of real assigners start equal and diverge
   * later.
   */
  private String formatTable(int count, double spread) {
    StringBuilder table = new StringBuilder(22 * count);
    int first = count < servers.length ? random.nextInt(servers.length) : 0;
    for (int k = 0; k < count; k++) {
      table
          .append(k == 0 ? "" : ",")
          .append(ServerCatalog.serverName(servers[(first + k) % servers.length]))
          .append(':')
          .append(formatWeight(spread));
    }
    return table.toString();
  }

  /** Formats a weight as a float without an exponent, as real assigners do. */
  private String formatWeight(double spread) {
    float weight = (float) ((1 + spread * (random.nextDouble() - 0.5)) / servers.length);
    return new BigDecimal(Float.toString(weight)).toPlainString();
  }

  /** Sends the ejection of a draining server to all proxies. */
  void ejectServer(int server) {
    loop.execute(
        () -> {
          byte[] message =
              RespWriter.encode(
                  "update",
                  "out",
                  ServerCatalog.serverName(server),
                  "ticket",
                  Integer.toString(nextMark()));
          for (Client proxy : List.copyOf(proxies)) {
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
