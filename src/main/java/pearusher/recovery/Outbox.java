package pearusher.recovery;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;

/**
 * Holds messages back until the commands in them are durable, and sends them in the order in which
 * they were offered. Once the store is abandoned, since it failed or takes too long, everything is
 * sent at once: a server that drains must not wait for a disk, and a lost record only costs the
 * next start a complete table for each proxy.
 *
 * <p>Not thread-safe: callers guard it by a lock of theirs. It grows with the messages that wait.
 *
 * @param <M> a message
 */
public final class Outbox<M> {
  private record HeldMessages<M>(long commitNumber, long offeredUs, List<M> messages) {}

  /** What {@link #offer} returns for messages that were sent at once. */
  public static final long SENT = 0;

  private final ArrayDeque<HeldMessages<M>> held = new ArrayDeque<>();
  private final Consumer<M> sender;
  private final long maxDelayUs;
  private long lastCommitNumber;
  private boolean isAbandoned;

  /**
   * An outbox that holds messages back.
   *
   * @param sender called with each message that may be sent
   * @param maxDelayUs the longest time in microseconds that messages should be held back
   */
  public Outbox(Consumer<M> sender, long maxDelayUs) {
    this.sender = sender;
    this.maxDelayUs = maxDelayUs;
  }

  /**
   * Takes the messages of one event-loop iteration.
   *
   * @return the commit number to {@linkplain #release release} them by, or {@link #SENT}
   */
  public long offer(List<M> messages, long nowUs) {
    if (isAbandoned) {
      messages.forEach(sender);
      return SENT;
    }
    lastCommitNumber++;
    held.add(new HeldMessages<>(lastCommitNumber, nowUs, List.copyOf(messages)));
    return lastCommitNumber;
  }

  /** Sends all messages up to a commit number, which are durable now. */
  public void release(long commitNumber) {
    while (!held.isEmpty() && held.peek().commitNumber() <= commitNumber) {
      held.poll().messages().forEach(sender);
    }
  }

  /** Whether messages were held back for longer than they should be. */
  public boolean isOverdue(long nowUs) {
    return !held.isEmpty() && nowUs - held.peek().offeredUs() > maxDelayUs;
  }

  /** The number of iterations whose messages are held back. */
  public int size() {
    return held.size();
  }

  /** Sends what is held back, and from now on everything at once. */
  public void abandon() {
    isAbandoned = true;
    release(Long.MAX_VALUE);
  }
}
