package pearusher.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Commits batches to a store on a dedicated thread. Batches that arrive while a sync runs share the
 * next sync. Compactions run on a second thread, one at a time. After the first failure, which is
 * reported once, the committer accepts no more batches. Memory grows with the batches in the queue.
 */
public final class GroupCommitter implements AutoCloseable {

  /** Receives the events of the store, on the committer's threads. */
  public interface Events {
    /** A batch can't be committed. No later batch will be committed either. */
    void onFailed(IOException cause);

    /**
     * A compaction is complete.
     *
     * @param durationMs duration of the compaction in milliseconds
     * @param logBytes length in bytes of the logs after it
     */
    void onCompacted(long durationMs, long logBytes);

    /** Marking the store as abandoned failed. */
    void onMarkAbandonedFailed(IOException cause);

    /** A compaction failed. Commits continue. */
    void onCompactionFailed(IOException cause);
  }

  /** A batch and the callback that runs once the batch is durable. */
  private record Commit(WriteBatch batch, Runnable onDurable) {}

  private static final long POLL_INTERVAL_MS = 100;
  private static final long CLOSE_TIMEOUT_MS = 5000;

  private final Store store;
  private final StoreOptions options;
  private final Events events;
  private final LinkedBlockingQueue<Commit> queue = new LinkedBlockingQueue<>();
  private final AtomicBoolean isCompacting = new AtomicBoolean();
  private final Thread thread = new Thread(this::run, "store");
  private volatile boolean isStopped;

  /** Creates a committer that is not started yet. */
  public GroupCommitter(Store store, StoreOptions options, Events events) {
    this.store = store;
    this.options = options;
    this.events = events;
    thread.setDaemon(true);
  }

  /** Starts the committing thread. */
  public void start() {
    thread.start();
  }

  /**
   * Submits the first batch to a store that was abandoned, and removes the store's mark once the
   * batch is durable. The batch must contain the complete state.
   */
  public void submitAndClearAbandoned(WriteBatch batch, Runnable onDurable) {
    submit(
        batch,
        () -> {
          try {
            store.clearAbandoned();
          } catch (IOException e) {
            events.onFailed(e);
          }
          onDurable.run();
        });
  }

  /**
   * Submits a batch without waiting, from any thread. After a failure or {@link #close} the batch
   * is ignored.
   *
   * @param onDurable runs on the committing thread once the batch is durable
   */
  public void submit(WriteBatch batch, Runnable onDurable) {
    if (!isStopped) {
      queue.add(new Commit(batch, onDurable));
    }
  }

  /** Marks the store as abandoned, on a separate thread because the disk may hang. */
  public void markAbandoned() {
    startDaemon(
        "store-mark",
        () -> {
          try {
            store.markAbandoned();
          } catch (IOException e) {
            events.onMarkAbandonedFailed(e);
          }
        });
  }

  /** Returns whether the committing thread is alive. */
  public boolean isRunning() {
    return thread.isAlive();
  }

  private void run() {
    try {
      while (!isStopped || !queue.isEmpty()) {
        Commit first = queue.poll(POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
        if (first != null) {
          commit(collectGroup(first));
          startCompactionIfNeeded();
        }
      }
    } catch (IOException e) {
      isStopped = true;
      queue.clear();
      events.onFailed(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private List<Commit> collectGroup(Commit first) throws InterruptedException {
    if (options.policy() == StoreOptions.Policy.INTERVAL && !isStopped) {
      TimeUnit.MICROSECONDS.sleep(options.intervalUs());
    }
    List<Commit> group = new ArrayList<>();
    group.add(first);
    queue.drainTo(group);
    return group;
  }

  private void commit(List<Commit> group) throws IOException {
    for (Commit commit : group) {
      store.append(commit.batch());
    }
    if (options.policy() == StoreOptions.Policy.NONE) {
      store.write();
    } else {
      store.sync();
    }
    group.forEach(commit -> commit.onDurable().run());
  }

  private void startCompactionIfNeeded() throws IOException {
    if (store.needsCompaction() && isCompacting.compareAndSet(false, true)) {
      Store.SealedLogs sealed = store.seal();
      startDaemon("store-compaction", () -> compact(sealed));
    }
  }

  private void compact(Store.SealedLogs sealed) {
    long startNs = System.nanoTime();
    try {
      store.compact(sealed);
      long durationMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
      events.onCompacted(durationMs, store.logBytes());
    } catch (IOException e) {
      events.onCompactionFailed(e);
    } finally {
      isCompacting.set(false);
    }
  }

  private static void startDaemon(String name, Runnable task) {
    Thread daemon = new Thread(task, name);
    daemon.setDaemon(true);
    daemon.start();
  }

  /**
   * Commits all submitted batches and closes the store. If the committing thread does not end in
   * time, because the disk hangs, the store stays open.
   */
  @Override
  public void close() throws IOException {
    isStopped = true;
    try {
      thread.join(CLOSE_TIMEOUT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (!thread.isAlive()) {
      store.close();
    }
  }
}
