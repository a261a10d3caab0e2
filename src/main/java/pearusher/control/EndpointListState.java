package pearusher.control;

import java.util.OptionalLong;
import org.tinylog.Logger;
import pearusher.protocol.EndpointList;

/**
 * The generation of the endpoint list in force and the state of the discovery watch. It classifies
 * lists that arrive by comparing their generations. Only the event-loop thread uses it. Its size is
 * constant.
 */
final class EndpointListState {
  /** Result of comparing the generation of a list with that of the list in force. */
  enum Freshness {
    /** The list is not older and takes effect. */
    CURRENT,
    /** The list is older but does not start a watch. It only shows that discovery responds. */
    OUTDATED,
    /** The list is older, complete and starts a watch. It is ignored and the watch has failed. */
    LAGGING,
    /**
     * Discovery has lagged for the maximum poll interval and is therefore assumed to have restarted
     * with a new version counter. The list takes effect.
     */
    RESTARTED
  }

  private final long maxPollIntervalUs;
  private long generation;

  /** When discovery started to lag, in microseconds; empty if it does not lag. */
  private OptionalLong laggingSinceUs = OptionalLong.empty();

  /** Whether a watch was started and has neither failed nor been stopped. */
  private boolean isWatching;

  /**
   * @param maxPollIntervalUs the maximum time that an assigner may go without polling discovery
   */
  EndpointListState(long maxPollIntervalUs) {
    this.maxPollIntervalUs = maxPollIntervalUs;
  }

  /** Returns the generation of the list in force. */
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
   * Compares a list with the list in force.
   *
   * @param startsWatch whether it is the first list of a watch
   */
  Freshness compare(EndpointList list, boolean startsWatch, long nowUs) {
    if (list.generation() >= generation) {
      laggingSinceUs = OptionalLong.empty();
      return Freshness.CURRENT;
    }
    return list.complete() && startsWatch ? compareOlderFirstList(list, nowUs) : Freshness.OUTDATED;
  }

  /**
   * Classifies an older complete list that starts a watch. Discovery either lags, in which case the
   * list would reinstate drained servers, or has lost its version counter. The last good list stays
   * in force until discovery has lagged for the maximum poll interval.
   */
  private Freshness compareOlderFirstList(EndpointList list, long nowUs) {
    long sinceUs = laggingSinceUs.orElse(nowUs);
    if (nowUs - sinceUs >= maxPollIntervalUs) {
      Logger.warn(
          "endpoint list accepted after a discovery restart: generation {} follows {}",
          list.generation(),
          generation);
      laggingSinceUs = OptionalLong.empty();
      return Freshness.RESTARTED;
    }
    if (sinceUs == nowUs) {
      Logger.warn(
          "endpoint list ignored: generation {} is older than {}, discovery lags",
          list.generation(),
          generation);
    }
    laggingSinceUs = OptionalLong.of(sinceUs);
    return Freshness.LAGGING;
  }
}
