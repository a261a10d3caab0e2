package pearusher.scale;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import org.HdrHistogram.Histogram;

/**
 * Measures how long a server that is to drain goes on being held by proxies: a time for each proxy,
 * and one for the change as a whole, when the last of them let it go. Belongs to the loop of the
 * proxies.
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

  /** Drains that some proxy still holds. */
  int unfinishedCount() {
    return pending.size();
  }

  /** A proxy has let a server go. */
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

  /** A proxy has a new whole table: what it does not name is let go. */
  void recheckTable(int proxy, IntPredicate holds, long nowNs) {
    for (int server : List.copyOf(pending.keySet())) {
      if (!holds.test(server)) {
        recordRelease(server, proxy, nowNs);
      }
    }
  }

  /** A proxy's stream ended: nothing is measured on it any more. */
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
