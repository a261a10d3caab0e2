package pearusher.control;

import java.util.OptionalLong;
import org.tinylog.Logger;
import pearusher.protocol.EndpointList;

/**
 * The version of the endpoint list in force, whether a watch of discovery is running, and what to
 * make of an older list. Only the event-loop thread uses it. Its size is constant.
 */
final class EndpointListState {
  /** How a list compares with the one in force. */
  enum Freshness {
    /** Not older: it takes effect. */
    CURRENT,
    /** Older, but not the first of a watch: it only shows that discovery is alive. */
    OUTDATED,
    /** A watch started with an older complete list: it is ignored, and the watch has failed. */
    LAGGING,
    /**
     * Lagging for as long as an assigner may go without polling: discovery restarted with other
     * versions. The list takes effect.
     */
    RESTARTED
  }

  private final long maxPollIntervalUs;
  private long generation;

  /** Since when discovery has started its watches with older lists only; empty if it does not. */
  private OptionalLong laggingSinceUs = OptionalLong.empty();

  /** Whether the policy asked for a watch that has not failed since. */
  private boolean isWatching;

  /**
   * @param maxPollIntervalUs how long an assigner may go without polling discovery
   */
  EndpointListState(long maxPollIntervalUs) {
    this.maxPollIntervalUs = maxPollIntervalUs;
  }

  /** Returns the version of the list in force. */
  long generation() {
    return generation;
  }

  void setGeneration(long generation) {
    this.generation = generation;
  }

  boolean isWatching() {
    return isWatching;
  }

  void setWatching(boolean isWatching) {
    this.isWatching = isWatching;
  }

  /**
   * Compares a list with the one in force.
   *
   * @param startsWatch whether it is the first list of a watch
   */
  Freshness compare(EndpointList list, boolean startsWatch, long nowUs) {
    if (list.generation() >= generation) {
      laggingSinceUs = OptionalLong.empty();
      return Freshness.CURRENT;
    }
    return list.complete() && startsWatch ? onOlderWatch(list, nowUs) : Freshness.OUTDATED;
  }

  /**
   * A watch starts with a complete list that is older than the one in force: discovery is either
   * lagging, and its list would reinstate drained servers, or has lost its version counter. The
   * last good list stays in force until this has lasted for as long as an assigner may go without
   * polling.
   */
  private Freshness onOlderWatch(EndpointList list, long nowUs) {
    long sinceUs = laggingSinceUs.orElse(nowUs);
    if (nowUs - sinceUs >= maxPollIntervalUs) {
      Logger.warn("discovery restarted: generation {} after {}", list.generation(), generation);
      laggingSinceUs = OptionalLong.empty();
      return Freshness.RESTARTED;
    }
    if (sinceUs == nowUs) {
      Logger.warn(
          "discovery lagging: generation {} after {}, ignored", list.generation(), generation);
    }
    laggingSinceUs = OptionalLong.of(sinceUs);
    return Freshness.LAGGING;
  }
}
