package pearusher.scale;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import org.HdrHistogram.Histogram;

/**
 * Measures how long a draining server stays in the tables of proxies: the time until each proxy has
 * removed it, and the time until the last proxy has. Owned by the event loop of the proxies. Grows
 * with the unfinished drains.
 */
final class DrainTimer {
  private static final int SIGNIFICANT_DIGITS = 3;

  private static final class PendingDrain {
    private final long startNs;
    private final BitSet proxies;

    PendingDrain(long startNs, BitSet proxies) {
      this.startNs = startNs;
      this.proxies = proxies;
    }
  }

  private final Map<Integer, PendingDrain> pending = new HashMap<>();
  private final Histogram perProxyUs = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram everywhereUs = new Histogram(SIGNIFICANT_DIGITS);

  void start(int server, BitSet proxies, long nowNs) {
    if (!proxies.isEmpty()) {
      pending.put(server, new PendingDrain(nowNs, proxies));
    }
  }

  boolean isIdle() {
    return pending.isEmpty();
  }

  /** Returns the number of draining servers that are still in the tables of a proxy. */
  int unfinishedCount() {
    return pending.size();
  }

  /** Records that a proxy has removed a server from its tables. */
  void recordRemoval(int server, int proxy, long nowNs) {
    PendingDrain drain = pending.get(server);
    if (drain != null && drain.proxies.get(proxy)) {
      perProxyUs.recordValue((nowNs - drain.startNs) / 1000);
      drain.proxies.clear(proxy);
      if (drain.proxies.isEmpty()) {
        everywhereUs.recordValue((nowNs - drain.startNs) / 1000);
        pending.remove(server);
      }
    }
  }

  /** Records the removal of all draining servers that a proxy's new tables do not contain. */
  void recheckTable(int proxy, IntPredicate contains, long nowNs) {
    for (int server : List.copyOf(pending.keySet())) {
      if (!contains.test(server)) {
        recordRemoval(server, proxy, nowNs);
      }
    }
  }

  /** Stops measuring a proxy whose stream has ended. */
  void removeProxy(int proxy) {
    pending
        .values()
        .removeIf(
            drain -> {
              drain.proxies.clear(proxy);
              return drain.proxies.isEmpty();
            });
  }

  Histogram perProxyUs() {
    return perProxyUs;
  }

  Histogram everywhereUs() {
    return everywhereUs;
  }
}
