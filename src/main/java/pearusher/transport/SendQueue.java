package pearusher.transport;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.IteratingCallback;

/**
 * Writes messages to one connection, one after the other in their order. Any thread may add one;
 * the thread that runs {@link #iterate} writes. It grows with what the peer leaves unread, up to
 * {@link #MAX_UNSENT_BYTES}.
 */
final class SendQueue extends IteratingCallback {
  /** Bytes that may be unsent, beyond what the kernel buffers, until the stream is closed. */
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

  /** Adds a message; returns false if more bytes are unsent now than may be. */
  boolean add(byte[] message) {
    synchronized (unsent) {
      unsentBytes += message.length;
      unsent.add(message);
      return unsentBytes <= MAX_UNSENT_BYTES;
    }
  }

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
