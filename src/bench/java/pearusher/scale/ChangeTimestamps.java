package pearusher.scale;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** When each generation of the list was told, for whoever measures how long it took to arrive. */
final class ChangeTimestamps {
  private final Map<Long, Long> toldNs = new ConcurrentHashMap<>();

  void told(long generation, long nowNs) {
    toldNs.put(generation, nowNs);
  }

  /** Time since a generation was told, or -1 for one that is older than the run's first change. */
  long sinceNs(long generation, long nowNs) {
    Long at = toldNs.get(generation);
    return at == null ? -1 : nowNs - at;
  }
}
