package pearusher.policy;

import java.util.function.ToDoubleFunction;

/** What the module has heard of one server and planned for it; it decides nothing. */
final class Server {
  final long id;

  /** Its place in this process's order of servers, where not all can be listed. */
  final long rank;

  int zone;
  double listed = 1;
  Lifecycle state = Lifecycle.READY;
  long startedUs, listedUs, outUs;

  /** Its subset of the fleet, from 1; 0: none yet. */
  int subset;

  boolean out, ill;

  /** Which proxies may shut it out by another's word: none, those not sure (1), all (2). */
  int doubt;

  double meanUs, failShare;
  double factor = 1;

  /**
   * Its time beside its zone's average as an earlier process weighed it: a guess till reports tell.
   */
  double guess = 1;

  /**
   * Of the pass at hand: part of the capacity that is ready, climb of a new one, time, cut, share.
   */
  double ready, climb, time, scale, share;

  final ZoneAttemptStats tallies = new ZoneAttemptStats();

  /** Whether tables may list it: among those that serve, as of the last choice. */
  boolean scoped;

  Server(long id, long rank) {
    this.id = id;
    this.rank = rank;
  }

  void forget() {
    tallies.clear();
    factor = 1;
    guess = 1;
  }

  /** All zones' evidence as one: how many good answers, failures, or microseconds. */
  double sum(ToDoubleFunction<AttemptStats> of) {
    return tallies.sumPast(of);
  }

  double good() {
    return sum(t -> t.good);
  }

  double bad() {
    return sum(t -> t.bad);
  }
}
