package pearusher.transport;

import org.tinylog.Logger;

/**
 * Logs what connections sent in vain, at 1, 2, 4, 8 ... of each kind: they come by hundreds. Any
 * thread may call it; its counters are guarded by the monitor of the {@link ConnectionRegistry}.
 */
final class RejectionLog {
  private final ConnectionRegistry registry;
  private long refused;
  private long dropped;

  RejectionLog(ConnectionRegistry registry) {
    this.registry = registry;
  }

  /** An unidentified connection was turned away for what it sent, or for want of a descriptor. */
  void refused(String who, String why) {
    long count;
    synchronized (registry) {
      count = ++refused;
    }
    if (Long.bitCount(count) == 1) {
      Logger.warn("strangers refused: {} so far, the last was {}: {}", count, who, why);
    }
  }

  /** A message on an identified connection was dropped. */
  void dropped(String who, String why) {
    long count;
    synchronized (registry) {
      count = ++dropped;
    }
    if (Long.bitCount(count) == 1) {
      Logger.warn("messages dropped: {} so far, the last from {}: {}", count, who, why);
    }
  }
}
