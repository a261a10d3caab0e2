package pearusher.control;

import java.io.IOException;
import java.util.List;
import java.util.function.LongSupplier;
import org.tinylog.Logger;
import pearusher.recovery.LedgerChanges;
import pearusher.recovery.Outbox;
import pearusher.store.GroupCommitter;
import pearusher.store.Store;
import pearusher.store.WriteBatch;

/**
 * Submits the changes of each iteration to the store and delays the iteration's messages until the
 * changes are durable. If the store fails, or if a message waits longer than the maximum commit
 * delay, the pipeline abandons the store: it sends the waiting messages, and every later message
 * immediately.
 *
 * <p>The event-loop thread submits and never waits for the disk; the store's thread sends. Mutable
 * state is guarded by a lock. Its size grows with the number of messages that wait for the disk.
 */
final class CommitPipeline implements AutoCloseable {

  /** A message to send once its iteration is durable. */
  record PendingMessage(ProxyStream stream, byte[] message) {
    void send() {
      stream.send(message);
    }
  }

  private final LongSupplier clock;
  private final GroupCommitter committer;
  private final Object lock = new Object();

  private final Outbox<PendingMessage> outbox;
  private boolean hasAbandonedStore;

  /** Whether the store is marked as abandoned by an earlier process; the first commit clears it. */
  private boolean mustClearAbandoned;

  /**
   * @param wasAbandoned whether an earlier process abandoned the store
   * @param clock returns the Unix time in microseconds
   */
  CommitPipeline(
      Store store, PersistenceOptions options, boolean wasAbandoned, LongSupplier clock) {
    mustClearAbandoned = wasAbandoned;
    this.clock = clock;
    outbox = new Outbox<>(PendingMessage::send, options.maxCommitDelayUs());
    committer =
        new GroupCommitter(store, options.storeOptions(), new StoreEventLog(this::abandonStore));
  }

  /** Starts the store's thread. */
  void start() {
    committer.start();
  }

  /**
   * Submits the changes and messages of an iteration, without waiting for the disk.
   *
   * @param changes the changes of the ledger in the iteration
   * @param messages the messages to send once the changes are durable
   */
  void submit(LedgerChanges changes, List<PendingMessage> messages, long nowUs) {
    synchronized (lock) {
      long commitNumber = outbox.offer(messages, nowUs);
      if (commitNumber == Outbox.SENT) {
        // The store was abandoned, and the outbox has already sent the messages.
        return;
      }
      WriteBatch batch = new WriteBatch();
      changes.forEach(batch::put, batch::delete);
      if (mustClearAbandoned) {
        mustClearAbandoned = false;
        committer.submitAndClearAbandoned(batch, () -> onDurable(commitNumber));
      } else {
        committer.submit(batch, () -> onDurable(commitNumber));
      }
    }
  }

  private void onDurable(long commitNumber) {
    synchronized (lock) {
      outbox.release(commitNumber);
    }
  }

  /** Abandons the store if a message has waited too long for it; any thread may call it. */
  void checkDeadline() {
    synchronized (lock) {
      if (!hasAbandonedStore && outbox.isOverdue(clock.getAsLong())) {
        abandonStore("a message waited for the disk longer than store.patience");
      }
    }
  }

  private void abandonStore(String cause) {
    synchronized (lock) {
      if (hasAbandonedStore) {
        return;
      }
      hasAbandonedStore = true;
      Logger.error("store abandoned: waiting={} cause=\"{}\"", outbox.size(), cause);
      // Starts marking the store before sending the messages, but does not wait for the mark: the
      // messages may be sent before the mark is durable (docs/ROADMAP.md).
      committer.markAbandoned();
      outbox.abandon();
    }
  }

  /** Returns whether the store's thread is running. */
  boolean isRunning() {
    return committer.isRunning();
  }

  /** Returns the number of iterations whose messages wait for the disk. */
  int pendingIterations() {
    synchronized (lock) {
      return outbox.size();
    }
  }

  @Override
  public void close() throws IOException {
    committer.close();
  }
}
