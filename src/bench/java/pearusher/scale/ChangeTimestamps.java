package pearusher.scale;

import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The publication times of the generations of the endpoint list, to measure how long a change takes
 * to arrive. Thread-safe. Grows with the changes of a run.
 */
final class ChangeTimestamps {
  private final Map<Long, Long> publishedNs = new ConcurrentHashMap<>();

  void recordPublication(long generation, long nowNs) {
    publishedNs.put(generation, nowNs);
  }

  /**
   * Returns the time since a generation was published, or empty if the generation precedes the
   * run's first change.
   */
  OptionalLong sinceNs(long generation, long nowNs) {
    Long publicationNs = publishedNs.get(generation);
    return publicationNs == null ? OptionalLong.empty() : OptionalLong.of(nowNs - publicationNs);
  }
}
