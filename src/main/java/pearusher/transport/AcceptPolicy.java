package pearusher.transport;

import java.io.File;
import java.util.Optional;
import java.util.function.IntSupplier;

/**
 * Decides whether a new connection is accepted, and which one is evicted for it if file descriptors
 * run short. Only the accepting thread uses it; its decisions hold the registry's monitor. Its size
 * is constant.
 */
final class AcceptPolicy {
  /** Descriptors reserved for calls, health checks and connections whose end is not seen yet. */
  private static final int RESERVED_DESCRIPTORS = 40;

  /** Connections that are accepted whatever the number of descriptors. */
  private static final int MIN_CONNECTIONS = 16;

  /**
   * Connections accepted before the selector must process those it has, which frees descriptors.
   */
  private static final int MAX_ACCEPTS_IN_A_ROW = 16;

  private static final String OWN_DESCRIPTORS = "/proc/self/fd";

  /**
   * The decision on a new connection.
   *
   * @param accepted whether it is accepted
   * @param evicted the connection to be closed for it, if one must be
   */
  record Admission(boolean accepted, Optional<StreamConnection> evicted) {}

  private final ConnectionRegistry registry;
  private final IntSupplier maxDescriptors;
  private int initialDescriptors;

  /** Connections accepted since the selector last processed those it has. */
  private int acceptsInARow;

  /**
   * Creates the policy.
   *
   * @param registry the connections that are open
   * @param maxDescriptors the descriptors that the process may hold, which a reload may change
   */
  AcceptPolicy(ConnectionRegistry registry, IntSupplier maxDescriptors) {
    this.registry = registry;
    this.maxDescriptors = maxDescriptors;
  }

  /** Counts the descriptors that the process holds before the first connection. */
  void countInitialDescriptors() {
    String[] descriptors = new File(OWN_DESCRIPTORS).list();
    initialDescriptors = descriptors == null ? RESERVED_DESCRIPTORS : descriptors.length;
  }

  /** Returns the number of connections that may be open at once. */
  int maxConnections() {
    int available = maxDescriptors.getAsInt() - initialDescriptors - RESERVED_DESCRIPTORS;
    return Math.max(MIN_CONNECTIONS, available);
  }

  /** Returns whether the selector must process its connections before the next accept. */
  boolean mustPause() {
    synchronized (registry) {
      acceptsInARow++;
      boolean withinLimit = acceptsInARow <= MAX_ACCEPTS_IN_A_ROW;
      if (withinLimit && !(isFull() && registry.isAwaitingOpening())) {
        return false;
      }
      acceptsInARow = 0;
      return true;
    }
  }

  /** Notes that the selector processes its connections now. */
  void onPause() {
    acceptsInARow = 0;
  }

  /** Decides on a new connection; an unidentified one is evicted for it if all are taken. */
  Admission admit() {
    synchronized (registry) {
      if (!isFull()) {
        return new Admission(true, Optional.empty());
      }
      Optional<StreamConnection> evicted = registry.takeEvictionCandidate();
      return new Admission(evicted.isPresent(), evicted);
    }
  }

  private boolean isFull() {
    return registry.size() >= maxConnections();
  }
}
