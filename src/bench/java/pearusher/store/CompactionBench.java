package pearusher.store;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import org.HdrHistogram.Histogram;

/**
 * Measures the latency of an append and its sync, one every millisecond, without compactions and
 * during continuous compactions.
 */
final class CompactionBench {
  private static final int KEYS = 100_000;
  private static final int VALUE_BYTES = 24;
  private static final int APPENDS_PER_CHECK = 20;
  private static final long APPEND_INTERVAL_NS = 1_000_000;
  private static final long MAX_RECORDED_NS = 60_000_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Path root;
  private final int appends;
  private final Histogram idleNs = newHistogram();
  private final Histogram compactingNs = newHistogram();

  CompactionBench(Path root, boolean quick) {
    this.root = root;
    appends = quick ? 1500 : 8000;
  }

  void run() throws IOException, InterruptedException {
    try (BenchDirectory directory = BenchDirectory.create(root, "compaction")) {
      try (Store store = Store.open(new FileDisk(directory.path()), StoreOptions.DEFAULT)) {
        fill(store);
        timeAppends(store, appends / 4, newHistogram());
        timeAppends(store, appends, idleNs);
        int compactions = 0;
        while (compactingNs.getTotalCount() < appends) {
          appendDuringCompaction(store);
          compactions++;
        }
        StoreBench.print("compaction_runs", compactions, "count");
      }
    }
    printLatencies();
  }

  private static void fill(Store store) throws IOException {
    for (int k = 0; k < KEYS; k++) {
      store.append(new WriteBatch().put("key/" + k, new byte[VALUE_BYTES]));
    }
    store.sync();
  }

  private void appendDuringCompaction(Store store) throws IOException, InterruptedException {
    Store.SealedLogs sealed = store.seal();
    Thread compactor = new Thread(() -> compact(store, sealed));
    compactor.start();
    while (compactor.isAlive() && compactingNs.getTotalCount() < appends) {
      timeAppends(store, APPENDS_PER_CHECK, compactingNs);
    }
    compactor.join();
  }

  private static void compact(Store store, Store.SealedLogs sealed) {
    try {
      store.compact(sealed);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void timeAppends(Store store, int count, Histogram durationsNs)
      throws IOException {
    for (int k = 0; k < count; k++) {
      long startNs = System.nanoTime();
      store.append(BenchWorkload.batch(k));
      store.sync();
      durationsNs.recordValue(System.nanoTime() - startNs);
      while (System.nanoTime() - startNs < APPEND_INTERVAL_NS) {
        Thread.onSpinWait();
      }
    }
  }

  private void printLatencies() {
    StoreBench.print("append_rest_p50", idleNs.getValueAtPercentile(50) / 1e3, "us");
    StoreBench.print("append_rest_p99", idleNs.getValueAtPercentile(99) / 1e3, "us");
    StoreBench.print("append_compacting_p50", compactingNs.getValueAtPercentile(50) / 1e3, "us");
    StoreBench.print("append_compacting_p99", compactingNs.getValueAtPercentile(99) / 1e3, "us");
    StoreBench.print(
        "append_compacting_p99_ratio",
        1.0 * compactingNs.getValueAtPercentile(99) / idleNs.getValueAtPercentile(99),
        "of_rest");
  }

  private static Histogram newHistogram() {
    return new Histogram(MAX_RECORDED_NS, SIGNIFICANT_DIGITS);
  }
}
