package pearusher.transport;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.IteratingCallback;
import pearusher.protocol.MessageEncoder;

/**
 * Queue of messages to one connection, which are written in order. Pongs are queued as a count, so
 * that a peer that pings without reading occupies no heap; they are written after the messages, a
 * few at a time. Any thread may add; the thread that calls {@link #iterate} writes. What the peer
 * does not read stays in the queue; the owner closes the connection if it exceeds {@link
 * #MAX_UNSENT_BYTES}.
 */
final class SendQueue extends IteratingCallback {
  /**
   * Maximum heap of the unsent messages, not counting bytes that the kernel buffers, before the
   * connection is closed.
   */
  static final int MAX_UNSENT_BYTES = 512 << 10;

  /** Heap of a queued message besides its bytes: array header, padding and queue entry. */
  private static final int MESSAGE_OVERHEAD_BYTES = 32;

  /** Maximum number of pongs in one write, which limits the size of its buffer. */
  private static final int MAX_PONGS_PER_WRITE = 64;

  private static final byte[] PONG = MessageEncoder.encodePong();

  private final EndPoint endPoint;
  private final Consumer<Throwable> onFailure;
  private final ArrayDeque<byte[]> unsent = new ArrayDeque<>();

  /** Heap of the messages in the queue and of the one being written. */
  private long unsentMessageBytes;

  /** Part of {@link #unsentMessageBytes} that is being written; 0 while pongs are written. */
  private long writtenMessageBytes;

  private long unsentPongs;

  /** Whether the queue is being written, or the caller of an addition is about to start that. */
  private boolean isWriting;

  private boolean isCleared;

  /** The step that the caller must take after an addition. */
  enum NextStep {
    /** Nothing: a write in progress continues with the addition. */
    NONE,
    /** Call {@link #iterate}. */
    WRITE,
    /** Close the connection: the unsent messages exceed {@link #MAX_UNSENT_BYTES}. */
    CLOSE
  }

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

  /** Adds a message; a cleared queue discards it. */
  NextStep add(byte[] message) {
    synchronized (unsent) {
      if (!isCleared) {
        unsentMessageBytes += heapBytes(message);
        unsent.add(message);
      }
      return nextStep();
    }
  }

  /** Adds a number of pongs; a cleared queue discards them. */
  NextStep addPongs(int count) {
    synchronized (unsent) {
      if (!isCleared) {
        unsentPongs += count;
      }
      return nextStep();
    }
  }

  private NextStep nextStep() {
    if (unsentMessageBytes + unsentPongs * PONG.length > MAX_UNSENT_BYTES) {
      return NextStep.CLOSE;
    }
    if (isWriting || isCleared) {
      return NextStep.NONE;
    }
    isWriting = true;
    return NextStep.WRITE;
  }

  private static int heapBytes(byte[] message) {
    return message.length + MESSAGE_OVERHEAD_BYTES;
  }

  /** Discards all unsent messages, and all messages that are added later. */
  void clear() {
    synchronized (unsent) {
      isCleared = true;
      unsent.clear();
      unsentMessageBytes = 0;
      unsentPongs = 0;
    }
  }

  @Override
  protected Action process() {
    byte[] next = takeNext();
    if (next == null) {
      return Action.IDLE;
    }
    endPoint.write(Callback.from(this::onSent, this::failed), ByteBuffer.wrap(next));
    return Action.SCHEDULED;
  }

  /** Takes the bytes to write next; returns null, and ends the writing, if there are none. */
  private byte[] takeNext() {
    synchronized (unsent) {
      byte[] message = unsent.poll();
      if (message != null) {
        writtenMessageBytes = heapBytes(message);
        return message;
      }
      writtenMessageBytes = 0;
      isWriting = unsentPongs > 0;
      return isWriting ? takePongs() : null;
    }
  }

  private byte[] takePongs() {
    int count = (int) Math.min(unsentPongs, MAX_PONGS_PER_WRITE);
    unsentPongs -= count;
    ByteBuffer pongs = ByteBuffer.allocate(count * PONG.length);
    for (int k = 0; k < count; k++) {
      pongs.put(PONG);
    }
    return pongs.array();
  }

  private void onSent() {
    synchronized (unsent) {
      unsentMessageBytes -= writtenMessageBytes;
    }
    succeeded();
  }

  @Override
  protected void onCompleteFailure(Throwable cause) {
    onFailure.accept(cause);
  }
}
