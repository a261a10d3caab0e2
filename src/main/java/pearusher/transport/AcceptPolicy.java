package pearusher.transport;

import java.io.File;
import java.util.function.IntSupplier;

/**
 * Whether a newcomer is taken, and who goes for it where descriptors run short. The thread that
 * accepts calls it; what it asks of the registry is one step under the registry's lock. Its size is
 * constant.
 */
final class AcceptPolicy {
  /** Descriptors kept for calls, probes and what is accepted before others are seen to end. */
  private static final int RESERVE = 40;

  /** Connections that are taken whatever the limit. */
  private static final int LEAST = 16;

  /**
   * Connections taken before the selector turns to those it has: closed ones free their descriptors
   * there.
   */
  private static final int MOST_ACCEPTS = 16;

  /** What becomes of a newcomer. {@code evicted}: who goes for it; null: nobody needs to. */
  record Admission(boolean taken, StreamConnection evicted) {}

  private final ConnectionRegistry registry;

  /** Descriptors that the process may hold. */
  private final IntSupplier sockets;

  /** Descriptors that the process held before the first connection. */
  private int held;

  /** Connections taken since the selector last turned to those it has. */
  private int accepts;

  AcceptPolicy(ConnectionRegistry registry, IntSupplier sockets) {
    this.registry = registry;
    this.sockets = sockets;
  }

  /** Counts the descriptors that are held before the first connection. */
  void begin() {
    String[] files = new File("/proc/self/fd").list();
    held = files == null ? RESERVE : files.length;
  }

  /** Connections that may be held at once. */
  int most() {
    return Math.max(LEAST, sockets.getAsInt() - held - RESERVE);
  }

  /** Whether the selector is to turn to those it has before the next connection is taken. */
  boolean mustPause() {
    synchronized (registry) {
      accepts = accepts == MOST_ACCEPTS ? 0 : accepts + 1;
      if (accepts == 0 || (registry.size() >= most() && registry.awaitsOpening())) {
        accepts = 0;
        return true;
      }
      return false;
    }
  }

  /** The selector turns to those it has. */
  void paused() {
    accepts = 0;
  }

  /**
   * Finds a place for a newcomer, by the eviction of an unidentified connection where none is free.
   */
  Admission admit() {
    synchronized (registry) {
      if (registry.size() < most()) {
        return new Admission(true, null);
      }
      StreamConnection out = registry.takeEvictionCandidate();
      return new Admission(out != null, out);
    }
  }
}
