package pearusher.transport;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.IteratingCallback;

/**
 * Queue of messages to one connection, which are written in order. Any thread may add a message;
 * the thread that calls {@link #iterate} writes. Messages that the peer does not read stay in the
 * queue; the owner closes the connection if they exceed {@link #MAX_UNSENT_BYTES}.
 */
final class SendQueue extends IteratingCallback {
  /**
   * Maximum number of unsent bytes, not counting those that the kernel buffers, before the
   * connection is closed.
   */
  static final int MAX_UNSENT_BYTES = 512 << 10;

  private final EndPoint endPoint;
  private final Consumer<Throwable> onFailure;
  private final ArrayDeque<byte[]> unsent = new ArrayDeque<>();
  private long unsentBytes;

  /**
   * Creates a queue.
   *
   * @param endPoint the connection to write to
   * @param onFailure called with the cause if a write fails
   */
  SendQueue(EndPoint endPoint, Consumer<Throwable> onFailure) {
    this.endPoint = endPoint;
    this.onFailure = onFailure;
  }

  /** Adds a message; returns false if the unsent bytes now exceed {@link #MAX_UNSENT_BYTES}. */
  boolean add(byte[] message) {
    synchronized (unsent) {
      unsentBytes += message.length;
      unsent.add(message);
      return unsentBytes <= MAX_UNSENT_BYTES;
    }
  }

  /** Discards all unsent messages. */
  void clear() {
    synchronized (unsent) {
      unsent.clear();
    }
  }

  @Override
  protected Action process() {
    byte[] message;
    synchronized (unsent) {
      message = unsent.poll();
    }
    if (message == null) {
      return Action.IDLE;
    }
    int size = message.length;
    endPoint.write(Callback.from(() -> onSent(size), this::failed), ByteBuffer.wrap(message));
    return Action.SCHEDULED;
  }

  private void onSent(int size) {
    synchronized (unsent) {
      unsentBytes -= size;
    }
    succeeded();
  }

  @Override
  protected void onCompleteFailure(Throwable cause) {
    onFailure.accept(cause);
  }
}
