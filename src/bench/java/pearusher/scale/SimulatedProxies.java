package pearusher.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * All simulated proxies of a run, on one event loop, which owns their state. Of a table a proxy
 * keeps a bit for each server and class, enough to tell when a draining server is released.
 */
final class SimulatedProxies implements AutoCloseable {
  /** Usage reports are spread evenly over this many parts of a period. */
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
   * Starts to time how long a server that is about to drain is still held by proxies. Must be
   * called before the change is published.
   */
  void trackDrain(int server) {
    loop.execute(
        () -> {
          BitSet holders = new BitSet();
          for (SimulatedProxy proxy : proxies) {
            holders.set(proxy.number(), proxy.isBound() && proxy.holds(server));
          }
          statistics.drains().start(server, holders, System.nanoTime());
        });
  }

  /** The number of proxies that are bound to an assigner, given by its index. */
  int boundCountAt(int assigner) throws InterruptedException {
    return loop.call(
        () ->
            (int)
                proxies.stream()
                    .filter(proxy -> proxy.isBound() && proxy.assigner() == assigner)
                    .count());
  }

  /** Removes all proxies of a zone without notice. */
  void removeZone(int zone) {
    loop.execute(
        () ->
            proxies.stream().filter(proxy -> proxy.zone() == zone).forEach(SimulatedProxy::remove));
  }

  /** Returns the removed proxies of a zone to service. */
  void restoreZone(int zone) {
    loop.execute(
        () ->
            proxies.stream()
                .filter(proxy -> proxy.zone() == zone && proxy.isRemoved())
                .forEach(SimulatedProxy::restore));
  }

  /** Silences all proxies, or resets their streams and connects them again. */
  void setPartitioned(boolean partitioned) {
    loop.execute(
        () -> {
          isPartitioned = partitioned;
          proxies.forEach(partitioned ? SimulatedProxy::silence : SimulatedProxy::reconnect);
        });
  }

  /** The measurements so far. */
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
