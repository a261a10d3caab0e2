package pearusher.publish;

import java.util.ArrayDeque;

/**
 * The acknowledgements that were requested on one proxy's stream and have not arrived. Only the
 * event-loop thread uses it. It grows with the requests, up to a limit.
 */
final class AckTracker {
  /** Requests stored for a proxy that acknowledges none; the oldest is dropped beyond. */
  private static final int MAX_PENDING = 1000;

  private record PendingAck(int number, long requestedUs) {
    boolean canBeAcknowledged(int acknowledged, long tookUs, long nowUs) {
      return number == acknowledged && tookUs <= nowUs - requestedUs;
    }
  }

  private final ArrayDeque<PendingAck> pending = new ArrayDeque<>();

  /** An update that requests an acknowledgement is sent. */
  void onRequested(int number, long nowUs) {
    pending.add(new PendingAck(number, nowUs));
    if (pending.size() > MAX_PENDING) {
      pending.remove();
    }
  }

  /**
   * Takes an acknowledgement, which covers all requests before it as well.
   *
   * @param tookUs how long the proxy says that it took
   * @return false if there is no such request, or it is not as old as that
   */
  boolean onAcknowledged(int number, long tookUs, long nowUs) {
    if (pending.stream().noneMatch(ack -> ack.canBeAcknowledged(number, tookUs, nowUs))) {
      return false;
    }
    while (pending.remove().number() != number) {
      // Requests before this one are covered by it.
    }
    return true;
  }

  int size() {
    return pending.size();
  }
}
