package pearusher.publish;

import java.util.ArrayDeque;

/**
 * The pending acknowledgements of one proxy's stream: those that were requested and have not
 * arrived. Only the event-loop thread uses it. Its size is limited to {@value #MAX_PENDING}
 * requests.
 */
final class AckTracker {
  /** Maximum number of pending requests; beyond it, the oldest request is dropped. */
  private static final int MAX_PENDING = 1000;

  private record PendingAck(int number, long requestedUs) {
    boolean matches(int acknowledgedNumber, long tookUs, long nowUs) {
      return number == acknowledgedNumber && tookUs <= nowUs - requestedUs;
    }
  }

  private final ArrayDeque<PendingAck> pending = new ArrayDeque<>();

  /** Adds a request that is sent with an update. */
  void onRequested(int number, long nowUs) {
    pending.add(new PendingAck(number, nowUs));
    if (pending.size() > MAX_PENDING) {
      pending.remove();
    }
  }

  /**
   * Removes the acknowledged request and all earlier ones, which the acknowledgement covers.
   *
   * @param tookUs the time between request and acknowledgement that the proxy reports, in
   *     microseconds
   * @return false if no request with this number is pending, or if the request was made less than
   *     {@code tookUs} ago
   */
  boolean onAcknowledged(int number, long tookUs, long nowUs) {
    if (pending.stream().noneMatch(ack -> ack.matches(number, tookUs, nowUs))) {
      return false;
    }
    while (pending.remove().number() != number) {
      // The acknowledgement covers the earlier requests.
    }
    return true;
  }

  int size() {
    return pending.size();
  }
}
