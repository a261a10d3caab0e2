package pearusher.transport;

import java.io.File;
import java.util.Optional;
import java.util.function.IntSupplier;

/**
 * Policy for accepting connections, with the choice of the connection to evict if file descriptors
 * run short. Only the accepting thread uses it. Its decisions are made while holding the monitor of
 * the registry.
 */
final class AcceptPolicy {
  /**
   * File descriptors reserved for calls, health checks and connections whose end was not detected
   * yet.
   */
  private static final int RESERVED_DESCRIPTORS = 40;

  /** Number of connections that are accepted regardless of the limit on file descriptors. */
  private static final int GUARANTEED_CONNECTIONS = 16;

  /**
   * Number of connections accepted before the selector must process its open connections, which
   * frees file descriptors.
   */
  private static final int MAX_CONSECUTIVE_ACCEPTS = 16;

  private static final String DESCRIPTOR_DIRECTORY = "/proc/self/fd";

  /**
   * Decision on a new connection.
   *
   * @param accepted whether the connection is accepted
   * @param evicted the connection to close in its favor; empty if none must be closed
   */
  record AcceptDecision(boolean accepted, Optional<StreamConnection> evicted) {}

  private final ConnectionRegistry registry;
  private final IntSupplier maxDescriptors;
  private int initialDescriptors;

  /** Number of connections accepted since the selector last processed its open connections. */
  private int consecutiveAccepts;

  /**
   * Creates the policy.
   *
   * @param registry the open connections
   * @param maxDescriptors the maximum number of file descriptors of the process, which a reload may
   *     change
   */
  AcceptPolicy(ConnectionRegistry registry, IntSupplier maxDescriptors) {
    this.registry = registry;
    this.maxDescriptors = maxDescriptors;
  }

  /** Counts the file descriptors that are open before the first connection. */
  void countInitialDescriptors() {
    String[] descriptors = new File(DESCRIPTOR_DIRECTORY).list();
    initialDescriptors = descriptors == null ? RESERVED_DESCRIPTORS : descriptors.length;
  }

  /** Returns the maximum number of open connections. */
  int maxConnections() {
    int available = maxDescriptors.getAsInt() - initialDescriptors - RESERVED_DESCRIPTORS;
    return Math.max(GUARANTEED_CONNECTIONS, available);
  }

  /**
   * Returns whether the selector must process its open connections before the next accept. A false
   * result counts as one accept.
   */
  boolean mustPause() {
    synchronized (registry) {
      consecutiveAccepts++;
      boolean withinLimit = consecutiveAccepts <= MAX_CONSECUTIVE_ACCEPTS;
      if (withinLimit && !(isFull() && registry.isAwaitingOpening())) {
        return false;
      }
      consecutiveAccepts = 0;
      return true;
    }
  }

  /** Records that the selector processes its open connections. */
  void onPause() {
    consecutiveAccepts = 0;
  }

  /**
   * Decides on a new connection. If the maximum number of connections is open, an unidentified
   * connection is evicted; if there is none, the new connection is rejected.
   */
  AcceptDecision decide() {
    synchronized (registry) {
      if (!isFull()) {
        return new AcceptDecision(true, Optional.empty());
      }
      Optional<StreamConnection> evicted = registry.takeEvictionCandidate();
      return new AcceptDecision(evicted.isPresent(), evicted);
    }
  }

  private boolean isFull() {
    return registry.size() >= maxConnections();
  }
}
