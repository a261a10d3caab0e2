package pearusher.transport;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pearusher.config.Timeouts;

/**
 * What the connections of the listening socket share: how many there are, which of them have not
 * said yet what they are and since when, which owe the rest of a message, and which wait for a
 * pong. All of it, and the fields of {@link StreamConnection} that say so, is guarded by this
 * object's monitor; any thread may call it. It grows with the connections.
 */
final class ConnectionRegistry {
  /**
   * Silences (of discovery's time-outs) in which a message on an identified connection must be
   * whole.
   */
  private static final int UNFINISHED_SILENCES = 6;

  private static final long NS_PER_MS = 1_000_000;

  private final Set<StreamConnection> unidentified = new LinkedHashSet<>();

  /** Identified connections that owe the rest of a message. */
  private final Set<StreamConnection> unfinished = new LinkedHashSet<>();

  /** Who waits for a pong until this assigner is ready. */
  private final Set<StreamConnection> awaitingPong = new LinkedHashSet<>();

  /** Connections accepted and not closed yet, and those of them that are not open yet. */
  private int connections;

  private int opening;
  private boolean ready;

  synchronized void accepted() {
    connections++;
    opening++;
  }

  /** One ended before it was open, and never became a connection. */
  synchronized void acceptFailed() {
    connections--;
    opening--;
  }

  synchronized void opened(StreamConnection one) {
    if (!one.closed) {
      one.opened = true;
      opening--;
      one.unidentifiedSinceNs = System.nanoTime();
      unidentified.add(one);
    }
  }

  synchronized void closed(StreamConnection one) {
    if (!one.closed) {
      connections--;
      opening -= one.opened ? 0 : 1;
    }
    unidentified.remove(one);
    unfinished.remove(one);
    awaitingPong.remove(one);
    one.closed = true;
  }

  /** Connections that hold a descriptor. */
  synchronized int size() {
    return connections;
  }

  /** Whether nobody can go for a newcomer yet, but some connections are about to open. */
  synchronized boolean awaitsOpening() {
    return unidentified.isEmpty() && opening > 0;
  }

  /**
   * Who goes for a newcomer, and counts as unidentified no more: one that has sent nothing before
   * one that has begun to, the longest connected first. Null: nobody can.
   */
  synchronized StreamConnection takeEvictionCandidate() {
    StreamConnection out =
        unidentified.stream()
            .filter(one -> !one.begun)
            .findFirst()
            .orElse(unidentified.isEmpty() ? null : unidentified.iterator().next());
    unidentified.remove(out);
    return out;
  }

  /** Whether a connection that was chosen to go still is to: not if it has joined since then. */
  synchronized boolean evict(StreamConnection one) {
    if (one.identified) {
      return false;
    }
    one.evicted = true;
    return true;
  }

  /**
   * It has said what it is: {@code how} notes that, under the lock. Guards against a join that is
   * read while the connection is being closed: the module would keep a proxy whose end nobody
   * tells.
   */
  synchronized void identify(StreamConnection one, Runnable how) {
    if (one.closed || one.evicted) {
      return;
    }
    unidentified.remove(one);
    how.run();
  }

  /** Its proxy has a newer stream: it is closed like an unidentified one, a little later. */
  synchronized void replaced(StreamConnection one) {
    if (!one.closed) {
      one.unidentifiedSinceNs = System.nanoTime();
      unidentified.add(one);
    }
  }

  /**
   * Notes since when the rest of a message is due. A good stream may be quiet for ever, but not in
   * the midst of a message: who stops there is gone or can't be read any more, and would hold its
   * place. {@code any}: a whole message came before the unfinished one.
   */
  synchronized void read(StreamConnection one, boolean any) {
    if (!one.identified || one.closed || !one.isMidMessage()) {
      unfinished.remove(one);
    } else if (unfinished.add(one) || any) {
      one.unfinishedSinceNs = System.nanoTime();
    }
  }

  /** A ping came; whether a pong is due at once. */
  synchronized boolean pinged(StreamConnection one) {
    one.pings++;
    if (!ready) {
      awaitingPong.add(one);
    }
    return ready;
  }

  /** Pongs that are due. */
  synchronized int takePings(StreamConnection one) {
    int due = one.pings;
    one.pings = 0;
    return due;
  }

  /** From now on pings are answered at once; returns who waits, whose time begins anew. */
  synchronized List<StreamConnection> ready() {
    ready = true;
    List<StreamConnection> waiting = List.copyOf(awaitingPong);
    awaitingPong.clear();
    waiting.forEach(one -> one.unidentifiedSinceNs = System.nanoTime());
    return waiting;
  }

  /** Connections whose time to say what they are, or for the rest of a message, is over. */
  synchronized List<StreamConnection> overdue(Timeouts timeouts) {
    List<StreamConnection> out = new ArrayList<>();
    long nowNs = System.nanoTime();
    int limitMs = timeouts.identificationMs();
    for (StreamConnection one : unidentified) {
      long mayMs = one.proxy >= 0 ? Math.max(limitMs, timeouts.idleMs()) : limitMs;
      if (nowNs - one.unidentifiedSinceNs >= mayMs * NS_PER_MS
          && (ready || !awaitingPong.contains(one))) {
        out.add(one);
      }
    }
    long unfinishedNs = (long) UNFINISHED_SILENCES * timeouts.idleMs() * NS_PER_MS;
    unfinished.stream()
        .filter(one -> nowNs - one.unfinishedSinceNs >= unfinishedNs)
        .forEach(out::add);
    return out;
  }
}
