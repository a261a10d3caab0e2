package pearusher.recovery;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;

/**
 * A queue that delays messages until their commands are durable, and then sends them in the order
 * in which they were offered. After {@link #abandon}, when the store has failed or takes too long,
 * all messages are sent immediately: a draining server must not wait for a disk, and the only cost
 * of a lost record is that the next start sends each proxy a complete table.
 *
 * <p>Not thread-safe: callers must hold a lock. Memory grows with the pending messages.
 *
 * @param <M> type of the messages
 */
public final class Outbox<M> {
  private record PendingMessages<M>(long commitNumber, long offeredUs, List<M> messages) {}

  /** The result of {@link #offer} for messages that were sent immediately. */
  public static final long SENT = 0;

  private final ArrayDeque<PendingMessages<M>> pending = new ArrayDeque<>();
  private final Consumer<M> sender;
  private final long maxDelayUs;
  private long lastCommitNumber;
  private boolean isAbandoned;

  /**
   * Creates an empty outbox.
   *
   * @param sender called with each message that may be sent
   * @param maxDelayUs the delay in microseconds after which messages are overdue
   */
  public Outbox(Consumer<M> sender, long maxDelayUs) {
    this.sender = sender;
    this.maxDelayUs = maxDelayUs;
  }

  /**
   * Adds the messages of one event-loop iteration, or sends them if the outbox is abandoned.
   *
   * @param nowUs current time in microseconds
   * @return the commit number for {@link #release}, or {@link #SENT}
   */
  public long offer(List<M> messages, long nowUs) {
    if (isAbandoned) {
      messages.forEach(sender);
      return SENT;
    }
    lastCommitNumber++;
    pending.add(new PendingMessages<>(lastCommitNumber, nowUs, List.copyOf(messages)));
    return lastCommitNumber;
  }

  /** Sends all pending messages up to a commit number, because their commands are durable. */
  public void release(long commitNumber) {
    while (!pending.isEmpty() && pending.peek().commitNumber() <= commitNumber) {
      pending.poll().messages().forEach(sender);
    }
  }

  /** Returns whether the oldest pending messages are overdue. */
  public boolean isOverdue(long nowUs) {
    return !pending.isEmpty() && nowUs - pending.peek().offeredUs() > maxDelayUs;
  }

  /** Returns the number of iterations with pending messages. */
  public int size() {
    return pending.size();
  }

  /** Sends all pending messages, and makes {@link #offer} send all later ones immediately. */
  public void abandon() {
    isAbandoned = true;
    release(Long.MAX_VALUE);
  }
}
