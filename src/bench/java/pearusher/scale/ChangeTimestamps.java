package pearusher.scale;

import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;

/**
 * When each generation of the endpoint list was published, to measure how long a change takes to
 * arrive. Thread-safe; grows with the changes of a run.
 */
final class ChangeTimestamps {
  private final Map<Long, Long> publishedNs = new ConcurrentHashMap<>();

  void recordPublication(long generation, long nowNs) {
    publishedNs.put(generation, nowNs);
  }

  /**
   * The time since a generation was published; empty if it is older than the run's first change.
   */
  OptionalLong sinceNs(long generation, long nowNs) {
    Long publicationNs = publishedNs.get(generation);
    return publicationNs == null ? OptionalLong.empty() : OptionalLong.of(nowNs - publicationNs);
  }
}
