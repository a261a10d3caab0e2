package pearusher.control;

import org.tinylog.Logger;
import pearusher.protocol.EndpointList;

/**
 * The version of the server list that is held, whether a watch of discovery runs, and what an older
 * list means. Only the decision thread uses it. Its size is constant.
 */
final class EndpointListState {
  /** How a list compares with the one held. */
  enum Freshness {
    /** Not older: it counts. */
    CURRENT,
    /** Older, but not what a watch begins with: it says only that discovery is there. */
    OUTDATED,
    /** A watch began with an older whole list: it is passed over, and the watch has failed. */
    LAGGING,
    /**
     * As before, for as long as an assigner may go without asking: discovery started anew. It
     * counts.
     */
    RESTARTED
  }

  private final long askWithinUs;
  private long generation;

  /** Since when discovery has begun its watches with older lists only; -1: it does not. */
  private long olderSinceUs = -1;

  /** The module has asked for a watch that has not failed since. */
  private boolean watching;

  /** {@code askWithinUs}: how long an assigner may go without asking discovery. */
  EndpointListState(long askWithinUs) {
    this.askWithinUs = askWithinUs;
  }

  /** The version of the list that is held. */
  long generation() {
    return generation;
  }

  /** A list of this version is held from now on. */
  void hold(long version) {
    generation = version;
  }

  boolean isWatching() {
    return watching;
  }

  void setWatching(boolean on) {
    watching = on;
  }

  /** Compares a list with the one held; {@code begins}: it is the first line of a watch. */
  Freshness compare(EndpointList what, boolean begins, long nowUs) {
    boolean old = what.generation() < generation;
    if (old && what.complete() && begins) {
      return older(what, nowUs);
    }
    olderSinceUs = old ? olderSinceUs : -1;
    return old ? Freshness.OUTDATED : Freshness.CURRENT;
  }

  /**
   * A new watch begins with a whole list that is older than the one held: a discovery that lags,
   * whose list would let drained servers in again, or one that lost its count. The last good list
   * stays and it is asked again; who says nothing newer for as long as an assigner may go without
   * asking has started anew.
   */
  private Freshness older(EndpointList what, long nowUs) {
    olderSinceUs = olderSinceUs < 0 ? nowUs : olderSinceUs;
    if (nowUs - olderSinceUs >= askWithinUs) {
      Logger.warn("discovery began anew: generation {} after {}", what.generation(), generation);
      olderSinceUs = -1;
      return Freshness.RESTARTED;
    }
    if (olderSinceUs == nowUs) {
      Logger.warn(
          "discovery older: generation {} after {}, passed over", what.generation(), generation);
    }
    return Freshness.LAGGING;
  }
}
