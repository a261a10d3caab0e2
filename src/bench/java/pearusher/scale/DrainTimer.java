package pearusher.scale;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import org.HdrHistogram.Histogram;

/**
 * Measures how long a draining server is still held by proxies: the time until each proxy releases
 * it and the time until the last one does. Owned by the event loop of the proxies; grows with the
 * unfinished drains.
 */
final class DrainTimer {
  private static final int SIGNIFICANT_DIGITS = 3;

  private static final class PendingDrain {
    private final long startNs;
    private final BitSet holders;

    PendingDrain(long startNs, BitSet holders) {
      this.startNs = startNs;
      this.holders = holders;
    }
  }

  private final Map<Integer, PendingDrain> pending = new HashMap<>();
  private final Histogram perProxyUs = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram everywhereUs = new Histogram(SIGNIFICANT_DIGITS);

  void start(int server, BitSet holders, long nowNs) {
    if (!holders.isEmpty()) {
      pending.put(server, new PendingDrain(nowNs, holders));
    }
  }

  boolean isIdle() {
    return pending.isEmpty();
  }

  /** The number of draining servers that some proxy still holds. */
  int unfinishedCount() {
    return pending.size();
  }

  /** Records that a proxy has released a server. */
  void recordRelease(int server, int proxy, long nowNs) {
    PendingDrain drain = pending.get(server);
    if (drain != null && drain.holders.get(proxy)) {
      perProxyUs.recordValue((nowNs - drain.startNs) / 1000);
      drain.holders.clear(proxy);
      if (drain.holders.isEmpty()) {
        everywhereUs.recordValue((nowNs - drain.startNs) / 1000);
        pending.remove(server);
      }
    }
  }

  /** Records the release of all servers that a proxy's new table does not contain. */
  void recheckTable(int proxy, IntPredicate holds, long nowNs) {
    for (int server : List.copyOf(pending.keySet())) {
      if (!holds.test(server)) {
        recordRelease(server, proxy, nowNs);
      }
    }
  }

  /** Stops measuring a proxy whose stream has ended. */
  void removeProxy(int proxy) {
    pending
        .values()
        .removeIf(
            drain -> {
              drain.holders.clear(proxy);
              return drain.holders.isEmpty();
            });
  }

  Histogram perProxyUs() {
    return perProxyUs;
  }

  Histogram everywhereUs() {
    return everywhereUs;
  }
}
