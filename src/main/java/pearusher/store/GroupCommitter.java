package pearusher.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The one thread that writes to a store. What waits while a sync runs shares the next one.
 * Compactions run on a second thread, one at a time. After the first failure it takes nothing more
 * and says so once.
 */
public final class GroupCommitter implements AutoCloseable {

  /** What happens now and then, for the log. */
  public interface Events {
    /** The store can't be written any more. */
    void failed(IOException why);

    void compacted(long tookMs, long logBytes);

    /** The store could not be marked as left behind. */
    void notDisowned(IOException why);

    /** A compaction failed; the store goes on with its logs. */
    void notCompacted(IOException why);
  }

  private record Entry(WriteBatch batch, Runnable done) {}

  private final Store store;
  private final StoreOptions options;
  private final Events events;
  private final LinkedBlockingQueue<Entry> queue = new LinkedBlockingQueue<>();
  private final AtomicBoolean compacting = new AtomicBoolean();
  private final Thread thread = new Thread(this::run, "store");
  private volatile boolean stopped;

  public GroupCommitter(Store store, StoreOptions options, Events events) {
    this.store = store;
    this.options = options;
    this.events = events;
    thread.setDaemon(true);
  }

  public void start() {
    thread.start();
  }

  /** The next batch makes a store that was left behind whole again. */
  public void submitAndClearAbandoned(WriteBatch batch, Runnable done) {
    submit(
        batch,
        () -> {
          try {
            store.clearAbandoned();
          } catch (IOException e) {
            events.failed(e);
          }
          done.run();
        });
  }

  /**
   * Hands over a batch without waiting; {@code done} runs on the store's thread once it is durable.
   */
  public void submit(WriteBatch batch, Runnable done) {
    if (!stopped) {
      queue.add(new Entry(batch, done));
    }
  }

  /** Marks the store as left behind, on a thread of its own: the disk may hang. */
  public void markAbandoned() {
    Thread marking =
        new Thread(
            () -> {
              try {
                store.markAbandoned();
              } catch (IOException e) {
                events.notDisowned(e);
              }
            },
            "store-mark");
    marking.setDaemon(true);
    marking.start();
  }

  /** Its thread is at work. */
  public boolean isRunning() {
    return thread.isAlive();
  }

  private void run() {
    List<Entry> group = new ArrayList<>();
    try {
      while (!stopped || !queue.isEmpty()) {
        Entry first = queue.poll(100, TimeUnit.MILLISECONDS);
        if (first == null) {
          continue;
        }
        if (options.policy() == StoreOptions.Policy.INTERVAL && !stopped) {
          TimeUnit.MICROSECONDS.sleep(options.intervalUs());
        }
        group.add(first);
        queue.drainTo(group);
        for (Entry one : group) {
          store.append(one.batch());
        }
        if (options.policy() == StoreOptions.Policy.NONE) {
          store.write();
        } else {
          store.sync();
        }
        group.forEach(one -> one.done().run());
        group.clear();
        if (store.needsCompaction() && compacting.compareAndSet(false, true)) {
          compact(store.seal());
        }
      }
    } catch (IOException e) {
      stopped = true;
      queue.clear();
      events.failed(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void compact(Store.Sealed sealed) {
    Thread folding =
        new Thread(
            () -> {
              long start = System.nanoTime();
              try {
                store.compact(sealed);
                events.compacted((System.nanoTime() - start) / 1_000_000, store.logBytes());
              } catch (IOException e) {
                events.notCompacted(e);
              } finally {
                compacting.set(false);
              }
            },
            "store-compaction");
    folding.setDaemon(true);
    folding.start();
  }

  /** Writes what waits and ends the store in order. */
  @Override
  public void close() throws IOException {
    stopped = true;
    try {
      thread.join(5000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (!thread.isAlive()) {
      store.close();
    }
  }
}
