package pearusher.transport;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import pearusher.config.Timeouts;

/**
 * Tracks the connections of the listening socket: how many there are, which of them are
 * unidentified and since when, which have sent only a part of a message, and which await a pong.
 * Thread-safe: all state, that of its entries too, is guarded by this object's monitor. It grows
 * with the connections.
 */
final class ConnectionRegistry {
  /** Idle timeouts within which an identified connection must complete a message. */
  private static final int IDLE_TIMEOUTS_PER_MESSAGE = 6;

  private static final long NS_PER_MS = 1_000_000;

  /** What the registry knows of one connection. */
  static final class Entry {
    private final StreamConnection connection;
    private volatile boolean identified;
    private volatile boolean hasReceived;
    private boolean opened;
    private boolean evicted;
    private boolean closed;
    private int pendingPings;
    private long unidentifiedSinceNs;
    private long unfinishedSinceNs;

    Entry(StreamConnection connection) {
      this.connection = connection;
    }

    /** Returns whether the peer has identified itself; any thread may ask. */
    boolean isIdentified() {
      return identified;
    }

    /** Notes that bytes were received. */
    void onBytesReceived() {
      hasReceived = true;
    }
  }

  private final Set<Entry> unidentified = new LinkedHashSet<>();

  /** Identified connections that have sent only a part of a message. */
  private final Set<Entry> unfinished = new LinkedHashSet<>();

  private final Set<Entry> awaitingPong = new LinkedHashSet<>();

  /** Connections that were accepted and are not closed. */
  private int connections;

  /** Those of them that are not open yet. */
  private int opening;

  private boolean ready;

  synchronized void onAccepted() {
    connections++;
    opening++;
  }

  /** Notes that an accepted connection failed before it was opened. */
  synchronized void onAcceptFailed() {
    connections--;
    opening--;
  }

  synchronized void onOpened(Entry entry) {
    if (entry.closed) {
      return;
    }
    entry.opened = true;
    opening--;
    addUnidentified(entry);
  }

  private void addUnidentified(Entry entry) {
    entry.unidentifiedSinceNs = System.nanoTime();
    unidentified.add(entry);
  }

  synchronized void onClosed(Entry entry) {
    if (!entry.closed) {
      connections--;
      opening -= entry.opened ? 0 : 1;
    }
    unidentified.remove(entry);
    unfinished.remove(entry);
    awaitingPong.remove(entry);
    entry.closed = true;
  }

  /** Returns the number of connections that hold a descriptor. */
  synchronized int size() {
    return connections;
  }

  /** Returns whether no connection can be evicted yet, but some are about to open. */
  synchronized boolean isAwaitingOpening() {
    return unidentified.isEmpty() && opening > 0;
  }

  /**
   * Selects a connection to be evicted, which counts as unidentified no more: one that has sent
   * nothing before one that has, and the oldest first.
   *
   * @return the connection; empty if all are identified
   */
  synchronized Optional<StreamConnection> takeEvictionCandidate() {
    Optional<Entry> candidate =
        unidentified.stream()
            .filter(entry -> !entry.hasReceived)
            .findFirst()
            .or(() -> unidentified.stream().findFirst());
    candidate.ifPresent(unidentified::remove);
    return candidate.map(entry -> entry.connection);
  }

  /** Evicts a selected connection; returns false if it was identified since its selection. */
  synchronized boolean evict(Entry entry) {
    if (entry.identified) {
      return false;
    }
    entry.evicted = true;
    return true;
  }

  /**
   * Identifies a connection, unless it was closed or evicted. The callback runs under the monitor:
   * otherwise a proxy could join on a connection whose end was already reported.
   */
  synchronized void identify(Entry entry, Runnable onIdentified) {
    if (entry.closed || entry.evicted) {
      return;
    }
    unidentified.remove(entry);
    entry.identified = true;
    onIdentified.run();
  }

  /** Notes that the proxy has a newer stream: this one will be closed like an unidentified one. */
  synchronized void onReplaced(Entry entry) {
    if (!entry.closed) {
      addUnidentified(entry);
    }
  }

  /**
   * Notes since when a message is unfinished. An identified connection may be silent for ever, but
   * not within a message: a peer that stops there has failed and would hold its place.
   *
   * @param entry the connection that was read
   * @param completedAny whether a message was completed before the unfinished one
   */
  synchronized void onRead(Entry entry, boolean completedAny) {
    if (!entry.identified || entry.closed || !entry.connection.isMidMessage()) {
      unfinished.remove(entry);
    } else if (unfinished.add(entry) || completedAny) {
      entry.unfinishedSinceNs = System.nanoTime();
    }
  }

  /** Notes a ping; returns whether it may be answered at once. */
  synchronized boolean onPing(Entry entry) {
    entry.pendingPings++;
    if (!ready) {
      awaitingPong.add(entry);
    }
    return ready;
  }

  /** Returns the number of pongs that a connection is due, and resets it. */
  synchronized int takePendingPings(Entry entry) {
    int pendingPings = entry.pendingPings;
    entry.pendingPings = 0;
    return pendingPings;
  }

  /**
   * Marks the assigner as ready: from now on pings are answered at once.
   *
   * @return the connections that await a pong, whose time to identify themselves starts anew
   */
  synchronized List<StreamConnection> markReady() {
    ready = true;
    long nowNs = System.nanoTime();
    List<StreamConnection> waiting = new ArrayList<>();
    for (Entry entry : awaitingPong) {
      entry.unidentifiedSinceNs = nowNs;
      waiting.add(entry.connection);
    }
    awaitingPong.clear();
    return waiting;
  }

  /** Returns the connections whose time to identify themselves or to end a message is over. */
  synchronized List<StreamConnection> overdue(Timeouts timeouts) {
    long nowNs = System.nanoTime();
    List<StreamConnection> overdue = new ArrayList<>();
    for (Entry entry : unidentified) {
      if (nowNs - entry.unidentifiedSinceNs >= identificationLimitNs(entry, timeouts)
          && (ready || !awaitingPong.contains(entry))) {
        overdue.add(entry.connection);
      }
    }
    long unfinishedLimitNs = (long) IDLE_TIMEOUTS_PER_MESSAGE * timeouts.idleMs() * NS_PER_MS;
    for (Entry entry : unfinished) {
      if (nowNs - entry.unfinishedSinceNs >= unfinishedLimitNs) {
        overdue.add(entry.connection);
      }
    }
    return overdue;
  }

  /** A replaced stream of a proxy has at least the time after which its silence is noticed. */
  private static long identificationLimitNs(Entry entry, Timeouts timeouts) {
    long limitMs = timeouts.identificationMs();
    if (entry.connection.isProxyStream()) {
      limitMs = Math.max(limitMs, timeouts.idleMs());
    }
    return limitMs * NS_PER_MS;
  }
}
