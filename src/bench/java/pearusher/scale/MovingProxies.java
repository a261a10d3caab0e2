package pearusher.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * All moving proxies of a run, on one event loop, which owns their state. Grows with the proxies.
 */
final class MovingProxies implements AutoCloseable {
  /** The number of slices of a period over which usage reports are spread evenly. */
  private static final int SLICES_PER_PERIOD = 20;

  private final EventLoop loop = new EventLoop("moving proxies");
  private final ProxyWorkload workload;
  private final List<MovingProxy> proxies = new ArrayList<>();
  private int slice;

  MovingProxies(ProxyWorkload workload, List<MovingProxy.Target> targets) throws IOException {
    this.workload = workload;
    for (int number = 0; number < workload.proxies(); number++) {
      proxies.add(new MovingProxy(number, workload, List.copyOf(targets), loop));
    }
  }

  /** Joins all proxies and starts their usage reports. */
  void join() {
    loop.execute(() -> proxies.forEach(MovingProxy::join));
    loop.scheduleAtFixedRate(workload.periodNs() / SLICES_PER_PERIOD, this::sendUsageOfSlice);
  }

  private void sendUsageOfSlice() {
    slice = (slice + 1) % SLICES_PER_PERIOD;
    for (int k = slice; k < proxies.size(); k += SLICES_PER_PERIOD) {
      proxies.get(k).sendUsage();
    }
  }

  /**
   * Moves every other pair of proxies, which includes proxies of both assigners. The pairs
   * alternate between rounds.
   */
  void move(int round) {
    loop.execute(
        () ->
            proxies.stream()
                .filter(proxy -> (proxy.number() / 2 + round) % 2 == 0)
                .forEach(MovingProxy::move));
  }

  /** Returns the number of proxies that have a complete table for each class. */
  long boundCount() throws InterruptedException {
    return loop.call(() -> proxies.stream().filter(MovingProxy::isBound).count());
  }

  EventLoop loop() {
    return loop;
  }

  @Override
  public void close() {
    loop.close();
  }
}
