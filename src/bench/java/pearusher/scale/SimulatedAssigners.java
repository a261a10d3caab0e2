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
 * Simulated assigners as seen by proxies and collectors: they answer pings, send a table of all
 * servers to each proxy that joins, changed weights at a fixed rate, and ejections. They make no
 * decisions and discard reports. Each watches discovery like a real one. All run on one event loop.
 */
final class SimulatedAssigners implements AutoCloseable {
  private static final byte[] PING = UpdateFieldReader.ascii("ping");
  private static final byte[] JOINED = UpdateFieldReader.ascii("joined");
  private static final byte[] PONG = RespWriter.encode("pong");
  private static final double WEIGHT_SPREAD = 1;
  private static final int SLICES = 20;
  private static final int MARK_LIMIT = 65_535;

  private final EventLoop loop = new EventLoop("simulated-assigners");
  private final SimulatedAssignerWorkload workload;
  private final List<AssignerAddress> addresses = new ArrayList<>();
  private final List<SimulatedWatchers> watchers = new ArrayList<>();
  private final Set<Peer> proxies = new LinkedHashSet<>();
  private final SplittableRandom random;
  private final int[] servers;
  private int lastMark;
  private int joinCount;
  private int slice;

  /** The fraction of a weight entry that is carried over to the next update. */
  private double entriesDue;

  /** One connection: the stream of a proxy, a collector or an unidentified client. */
  private final class Peer implements Connection.Handler {
    private final RespScanner scanner = new RespScanner();
    private Connection connection;

    /** The part of a period in which the proxy is sent updates, the same in each period. */
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
        slice = joinCount++ % SLICES;
        proxies.add(this);
        connection.send(encodeBinding());
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
      addresses.add(new AssignerAddress(loop.listen(connection -> new Peer()), traffic));
      SimulatedWatchers watcher =
          new SimulatedWatchers(1, discovery.listen(traffic), new ChangeTimestamps());
      watchers.add(watcher);
      watcher.start();
    }
    if (workload.updatesPerPeriod() > 0) {
      loop.scheduleAtFixedRate(
          (long) (workload.periodNs() / workload.updatesPerPeriod() / SLICES),
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

  private byte[] encodeBinding() {
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
    slice = (slice + 1) % SLICES;
    for (Peer proxy : List.copyOf(proxies)) {
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
   * Formats consecutive servers with weights, which real assigners start equal and spread later.
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

  /** Formats a weight as real assigners do: a float without an exponent. */
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
