package pearusher.transport;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.IteratingCallback;

/**
 * The messages that wait to be written to one connection, in their order. Any thread may add one;
 * they are written one after the other, by whichever thread runs {@link #iterate}. It grows with
 * what the other end leaves unread, and tells when that is over {@link #MOST_UNREAD}.
 */
final class SendQueue extends IteratingCallback {
  /**
   * Bytes that a proxy may leave unread here, beyond what the kernel holds, until its stream is
   * ended.
   */
  static final int MOST_UNREAD = 512 << 10;

  private final EndPoint endPoint;
  private final Consumer<Throwable> failed;
  private final ArrayDeque<byte[]> unsent = new ArrayDeque<>();
  private long unsentBytes;

  /** {@code failed} hears of a write that failed. */
  SendQueue(EndPoint endPoint, Consumer<Throwable> failed) {
    this.endPoint = endPoint;
    this.failed = failed;
  }

  /** Adds a message; false if more waits now than may. */
  boolean add(byte[] message) {
    synchronized (unsent) {
      unsentBytes += message.length;
      unsent.add(message);
      return unsentBytes <= MOST_UNREAD;
    }
  }

  void clear() {
    synchronized (unsent) {
      unsent.clear();
    }
  }

  @Override
  protected Action process() {
    byte[] next;
    synchronized (unsent) {
      next = unsent.poll();
    }
    if (next == null) {
      return Action.IDLE;
    }
    int size = next.length;
    endPoint.write(
        Callback.from(
            () -> {
              synchronized (unsent) {
                unsentBytes -= size;
              }
              succeeded();
            },
            this::failed),
        ByteBuffer.wrap(next));
    return Action.SCHEDULED;
  }

  @Override
  protected void onCompleteFailure(Throwable cause) {
    failed.accept(cause);
  }
}
