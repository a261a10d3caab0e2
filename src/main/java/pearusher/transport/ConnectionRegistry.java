package pearusher.transport;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import pearusher.config.Timeouts;

/**
 * Registry of the connections of the listening socket. Tracks their number, the unidentified
 * connections and their timeouts, the connections with an unfinished message, and those that await
 * a pong. Thread-safe: the monitor of this object guards all state, including that of the entries.
 */
final class ConnectionRegistry {
  /** Time in which an identified connection must complete a message, in idle timeouts. */
  private static final int IDLE_TIMEOUTS_PER_MESSAGE = 6;

  private static final long NS_PER_MS = 1_000_000;

  /** State of one connection. */
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

    /** Returns whether the peer has identified itself; any thread may call this. */
    boolean isIdentified() {
      return identified;
    }

    /** Records that bytes were received. */
    void onBytesReceived() {
      hasReceived = true;
    }
  }

  private final Set<Entry> unidentified = new LinkedHashSet<>();

  /** Identified connections that have sent only a part of a message. */
  private final Set<Entry> unfinished = new LinkedHashSet<>();

  private final Set<Entry> awaitingPong = new LinkedHashSet<>();

  /** Number of accepted connections that are not closed. */
  private int connections;

  /** Number of accepted connections that are not open yet. */
  private int opening;

  private boolean ready;

  /** Records that a connection was accepted. */
  synchronized void onAccepted() {
    connections++;
    opening++;
  }

  /** Records that an accepted connection failed before it was opened. */
  synchronized void onAcceptFailed() {
    connections--;
    opening--;
  }

  /** Records that a connection was opened, and starts its identification timeout. */
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

  /** Removes a closed connection. */
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

  /** Returns the number of connections that occupy a file descriptor. */
  synchronized int size() {
    return connections;
  }

  /** Returns whether no connection can be evicted yet but some are about to open. */
  synchronized boolean isAwaitingOpening() {
    return unidentified.isEmpty() && opening > 0;
  }

  /**
   * Selects the connection to evict and removes it from the unidentified connections. Prefers
   * connections that have sent nothing, and among those the oldest one.
   *
   * @return the connection; empty if no connection is unidentified
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

  /** Marks a selected connection as evicted; returns false if it was identified in the meantime. */
  synchronized boolean evict(Entry entry) {
    if (entry.identified) {
      return false;
    }
    entry.evicted = true;
    return true;
  }

  /**
   * Marks a connection as identified, unless it was closed or evicted. The callback runs while the
   * monitor is held; otherwise a proxy could join on a connection whose end was already reported.
   */
  synchronized void identify(Entry entry, Runnable onIdentified) {
    if (entry.closed || entry.evicted) {
      return;
    }
    unidentified.remove(entry);
    entry.identified = true;
    onIdentified.run();
  }

  /** Starts the timeout of a stream that a newer stream of the proxy has replaced. */
  synchronized void onReplaced(Entry entry) {
    if (!entry.closed) {
      addUnidentified(entry);
    }
  }

  /**
   * Updates the time since which a message is unfinished. An identified connection may be idle
   * without limit between messages, but not within a message. A peer that stops within a message
   * has failed and would occupy its connection forever.
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

  /** Records a ping; returns whether it may be answered immediately. */
  synchronized boolean onPing(Entry entry) {
    entry.pendingPings++;
    if (!ready) {
      awaitingPong.add(entry);
    }
    return ready;
  }

  /** Returns the number of unanswered pings of a connection and resets it. */
  synchronized int resetPendingPings(Entry entry) {
    int pendingPings = entry.pendingPings;
    entry.pendingPings = 0;
    return pendingPings;
  }

  /**
   * Marks the assigner as ready, so that pings are answered immediately. Restarts the
   * identification timeout of the connections that await a pong.
   *
   * @return the connections that await a pong
   */
  synchronized List<StreamConnection> markReady() {
    ready = true;
    long nowNs = System.nanoTime();
    List<StreamConnection> awaitingConnections = new ArrayList<>();
    for (Entry entry : awaitingPong) {
      entry.unidentifiedSinceNs = nowNs;
      awaitingConnections.add(entry.connection);
    }
    awaitingPong.clear();
    return awaitingConnections;
  }

  /** Returns the connections whose timeout for identification or for a message has expired. */
  synchronized List<StreamConnection> findExpired(Timeouts timeouts) {
    long nowNs = System.nanoTime();
    List<StreamConnection> expired = new ArrayList<>();
    for (Entry entry : unidentified) {
      if (nowNs - entry.unidentifiedSinceNs >= identificationTimeoutNs(entry, timeouts)
          && (ready || !awaitingPong.contains(entry))) {
        expired.add(entry.connection);
      }
    }
    long messageTimeoutNs = (long) IDLE_TIMEOUTS_PER_MESSAGE * timeouts.idleMs() * NS_PER_MS;
    for (Entry entry : unfinished) {
      if (nowNs - entry.unfinishedSinceNs >= messageTimeoutNs) {
        expired.add(entry.connection);
      }
    }
    return expired;
  }

  /**
   * Returns the identification timeout. For a replaced stream of a proxy it is at least the idle
   * timeout.
   */
  private static long identificationTimeoutNs(Entry entry, Timeouts timeouts) {
    long timeoutMs = timeouts.identificationMs();
    if (entry.connection.isProxyStream()) {
      timeoutMs = Math.max(timeoutMs, timeouts.idleMs());
    }
    return timeoutMs * NS_PER_MS;
  }
}
