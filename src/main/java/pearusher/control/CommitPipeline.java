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
 * Submits the changes of each iteration to the store and holds the iteration's messages back until
 * they are durable. After a fault of the store, or if a message waits for it for too long, it gives
 * the store up: what waits is sent, and so is every later message at once.
 *
 * <p>The event-loop thread submits, which never waits for the disk; the store's thread sends. It
 * grows with the messages that wait for the disk.
 */
final class CommitPipeline implements AutoCloseable {

  /** A message that is sent once its iteration is durable. */
  record PendingMessage(ProxyStream stream, byte[] message) {
    void send() {
      stream.send(message);
    }
  }

  private final LongSupplier clock;
  private final GroupCommitter committer;
  private final Object lock = new Object();

  // All below is guarded by the lock.

  private final Outbox<PendingMessage> outbox;
  private boolean hasGivenUp;

  /** Whether an earlier process gave the store up; the first commit makes it complete again. */
  private boolean isStoreAbandoned;

  /**
   * @param isStoreAbandoned whether an earlier process gave the store up
   * @param clock gives microseconds of Unix time
   */
  CommitPipeline(
      Store store, PersistenceOptions options, boolean isStoreAbandoned, LongSupplier clock) {
    this.isStoreAbandoned = isStoreAbandoned;
    this.clock = clock;
    outbox = new Outbox<>(PendingMessage::send, options.maxCommitDelayUs());
    committer =
        new GroupCommitter(store, options.storeOptions(), new StoreEventLog(this::giveUpStore));
  }

  /** Starts the store's thread. */
  void start() {
    committer.start();
  }

  /**
   * Submits an iteration.
   *
   * @param changes what the ledger changed in the iteration
   * @param messages to be sent once the changes are durable
   */
  void submit(LedgerChanges changes, List<PendingMessage> messages, long nowUs) {
    synchronized (lock) {
      long ticket = outbox.offer(messages, nowUs);
      if (ticket == Outbox.SENT) {
        // The store was given up: the messages are sent already.
        return;
      }
      WriteBatch batch = new WriteBatch();
      changes.forEach(batch::put, batch::delete);
      if (isStoreAbandoned) {
        isStoreAbandoned = false;
        committer.submitAndClearAbandoned(batch, () -> onDurable(ticket));
      } else {
        committer.submit(batch, () -> onDurable(ticket));
      }
    }
  }

  private void onDurable(long ticket) {
    synchronized (lock) {
      outbox.release(ticket);
    }
  }

  /** Gives the store up if a message has waited for it for too long. Any thread may call it. */
  void checkDeadline() {
    synchronized (lock) {
      if (!hasGivenUp && outbox.isOverdue(clock.getAsLong())) {
        giveUpStore("a message waited for the disk longer than store.patience");
      }
    }
  }

  private void giveUpStore(String cause) {
    synchronized (lock) {
      if (hasGivenUp) {
        return;
      }
      hasGivenUp = true;
      Logger.error("store given up: waiting={} cause=\"{}\"", outbox.size(), cause);
      // Started before the messages are sent, but not waited for: they may be sent before the mark
      // is durable (docs/ROADMAP.md).
      committer.markAbandoned();
      outbox.abandon();
    }
  }

  /** Whether the store's thread is running. */
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
