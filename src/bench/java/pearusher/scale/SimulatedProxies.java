package pearusher.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * All simulated proxies of a run, on one event loop, which owns their state. A proxy stores one bit
 * per server and class of its tables, which suffices to detect when a draining server is removed
 * from them.
 */
final class SimulatedProxies implements AutoCloseable {
  /** The number of slices of a period over which usage reports are spread evenly. */
  private static final int SLICES_PER_PERIOD = 20;

  private final EventLoop loop = new EventLoop("proxies");
  private final ProxyWorkload workload;
  private final List<SimulatedProxy> proxies = new ArrayList<>();
  private final ProxyStatistics statistics = new ProxyStatistics();
  private int slice;
  private boolean isPartitioned;

  SimulatedProxies(ProxyWorkload workload, List<AssignerAddress> assigners) throws IOException {
    this.workload = workload;
    List<AssignerAddress> addresses = List.copyOf(assigners);
    for (int number = 0; number < workload.proxies(); number++) {
      proxies.add(new SimulatedProxy(number, workload, addresses, loop, statistics));
    }
  }

  /** Connects all proxies and starts their usage reports. */
  void join() {
    loop.execute(() -> proxies.forEach(SimulatedProxy::connect));
    loop.scheduleAtFixedRate(workload.periodNs() / SLICES_PER_PERIOD, this::sendUsageOfSlice);
  }

  private void sendUsageOfSlice() {
    slice = (slice + 1) % SLICES_PER_PERIOD;
    if (isPartitioned) {
      return;
    }
    for (int k = slice; k < proxies.size(); k += SLICES_PER_PERIOD) {
      proxies.get(k).sendUsage();
    }
  }

  /**
   * Starts to measure how long a server that is about to drain stays in the tables of proxies. Must
   * be called before the change is published.
   */
  void trackDrain(int server) {
    loop.execute(
        () -> {
          BitSet proxiesWithServer = new BitSet();
          for (SimulatedProxy proxy : proxies) {
            proxiesWithServer.set(proxy.number(), proxy.isBound() && proxy.hasServer(server));
          }
          statistics.drains().start(server, proxiesWithServer, System.nanoTime());
        });
  }

  /** Returns the number of proxies that are bound to an assigner, given by its index. */
  int boundCountAt(int assigner) throws InterruptedException {
    return loop.call(
        () ->
            (int)
                proxies.stream()
                    .filter(proxy -> proxy.isBound() && proxy.assigner() == assigner)
                    .count());
  }

  /** Resets the streams of all proxies of a zone, which then stay disconnected. */
  void removeZone(int zone) {
    loop.execute(
        () ->
            proxies.stream().filter(proxy -> proxy.zone() == zone).forEach(SimulatedProxy::remove));
  }

  /** Reconnects the removed proxies of a zone. */
  void restoreZone(int zone) {
    loop.execute(
        () ->
            proxies.stream()
                .filter(proxy -> proxy.zone() == zone && proxy.isRemoved())
                .forEach(SimulatedProxy::restore));
  }

  /**
   * Starts a network partition by suspending all proxies, or ends it by resetting and reconnecting
   * their streams.
   */
  void setPartitioned(boolean partitioned) {
    loop.execute(
        () -> {
          isPartitioned = partitioned;
          proxies.forEach(partitioned ? SimulatedProxy::suspend : SimulatedProxy::reconnect);
        });
  }

  /** Returns a snapshot of the measurements. */
  ProxyFigures figures() throws InterruptedException {
    return loop.call(statistics::snapshot);
  }

  EventLoop loop() {
    return loop;
  }

  @Override
  public void close() {
    loop.close();
  }
}
